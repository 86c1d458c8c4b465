// Slopes of a real gateway process against stand-ins.
#include "scenario.hpp"

namespace cottonroad::scale {

void add_process_slopes(std::vector<Scenario>&) {}

}  // namespace cottonroad::scale
