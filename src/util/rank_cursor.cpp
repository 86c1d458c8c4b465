#include "util/rank_cursor.hpp"

namespace quota_gateway {

void RankCursor::on_change(std::uint64_t changed_position, CountChange change) {
  if (changed_position >= position_) {
    return;
  }
  if (change == CountChange::kBecameCounted) {
    ++rank_;
  } else if (change == CountChange::kNoLongerCounted) {
    --rank_;
  }
}

}  // namespace quota_gateway
