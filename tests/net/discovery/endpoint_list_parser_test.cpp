// Tests EndpointListParser with JSON text that arrives in chunks.
#include "net/discovery/endpoint_list_parser.hpp"

#include <gtest/gtest.h>

#include "support/gateway_test_bed.hpp"
#include "support/resource_usage.hpp"

namespace quota_gateway::net::testing {
namespace {

EndpointList parse(const std::vector<std::string_view>& pieces,
                   EndpointListParserLimits limits = {}) {
  EndpointListParser parser({"members"}, limits);
  for (const auto piece : pieces) {
    if (parser.parse_chunk(piece) != piece.size()) {
      throw std::runtime_error("text after the end of the list");
    }
  }
  if (!parser.is_done()) {
    throw std::runtime_error("the list is incomplete");
  }
  return parser.take_list(parser.surrounding_json());
}

std::string text_of(const EndpointList& list) {
  std::string text = std::to_string(list.revision) + (list.complete ? " complete" : "");
  for (const ListedEndpoint& endpoint : list.endpoints) {
    text += '\n' + endpoint.entry.server + ' ' + endpoint.entry.zone + ' ' +
            std::to_string(endpoint.entry.cell) + ' ' + std::to_string(int(endpoint.entry.state)) +
            ' ' + std::to_string(endpoint.entry.weight) + ' ' +
            std::to_string(endpoint.entry.started_at) + ' ' +
            endpoint.address.address().to_string() + ' ' + std::to_string(endpoint.address.port());
  }
  return text;
}

// A valid list with spaces, escapes, nested values and duplicate keys. `revision` and `complete`
// follow the endpoints, and another object has its own array `members`.
const std::string kUnusualList =
    R"({ "note":{"members":[{"id":7}],"revision":3}, "members":[)"
    R"({"id":"s}]\"{\\","host_port":"10.0.0.1:80","locality":"a\u00e9","phase":"up","size":2,)"
    R"("more":[{"id":"no","phase":[]}],"up_since_ms":1500},)"
    "\n  "
    R"({"phase":"draining","phase":"removed","id":"first","id":"second","cell":-4} , )"
    R"({"id":"v6","host_port":"::1:9","phase":"up"}],"revision":43,"complete":true})";

TEST(EndpointListParser, AcceptsAListInAnyTwoPiecesAndByteByByte) {
  // The cuts fall inside entries, strings, escapes and keys.
  const std::string expected =
      "43 complete\ns}]\"{\\ a\u00e9 0 0 2.000000 1500000 10.0.0.1 80\n"
      "second  -4 2 1.000000 0 0.0.0.0 0\nv6  0 0 1.000000 0 ::1 9";
  const std::string_view all = kUnusualList;
  EXPECT_EQ(text_of(parse({all})), expected);
  for (std::size_t cut = 1; cut < all.size(); ++cut) {
    ASSERT_EQ(text_of(parse({all.substr(0, cut), all.substr(cut)})), expected) << cut;
  }
  std::vector<std::string_view> bytes;
  for (std::size_t i = 0; i < all.size(); ++i) {
    bytes.push_back(all.substr(i, 1));
  }
  EXPECT_EQ(text_of(parse(bytes)), expected);
}

TEST(EndpointListParser, AcceptsEscapedKeys) {
  const auto list = parse(
      {R"({"revision":1,"\u006dembers":[{"\u0069d":"s","phase":"up","host_port":"10.0.0.1:8"}]})"});
  ASSERT_EQ(list.endpoints.size(), 1U);
  EXPECT_EQ(list.endpoints[0].entry.server, "s");
}

TEST(EndpointListParser, ThrowsOnMalformedText) {
  const std::string good = R"({"id":"s","phase":"up","host_port":"10.0.0.1:8"})";
  const auto with = [](const std::string& members) {
    return R"({"revision":1,"members":[)" + members + "]}";
  };
  ASSERT_EQ(parse({with(good + "," + good)}).endpoints.size(), 2U);
  const auto edited = [&](const std::string& from, const std::string& replacement) {
    std::string text = good;
    return text.replace(text.find(from), from.size(), replacement);
  };
  for (const std::string& text : {with(good + good),
                                  with(good + ","),
                                  with("," + good),
                                  with(std::string(good).append(",,").append(good)),
                                  with(good + "}"),
                                  with("1"),
                                  with("[" + good + "]"),
                                  with("\"s\""),
                                  with("{]"),
                                  with("{}"),
                                  with(edited("\"up\"", "up")),
                                  with(edited("\"s\"", "7")),
                                  with(edited("\"s\"", "null")),
                                  with(edited("\"up\"", "\"odd\"")),
                                  with(edited("10.0.0.1:8", "10.0.0.1")),
                                  with(edited("}", R"(,"size":"1"})")),
                                  with(edited("}", ",\"cell\":null}")),
                                  with(edited("}", ",\"locality\":1}")),
                                  with(edited("}", ",\"flavor\":1}")),
                                  with(edited("}", ",}")),
                                  with(edited("}", ",\"x\":tru}")),
                                  with(edited("}", ",\"up_since_ms\":1e300}")),
                                  with(edited("}", ",\"x\":\"\xff\"}")),
                                  with(edited("\"s\"", "\"s")),
                                  std::string(R"({"revision":1,"members":[]]})"),
                                  std::string("[]"),
                                  std::string(R"({"revision":1,"members":{}})"),
                                  std::string(R"({"revision":1})"),
                                  std::string(R"({"members":[]})"),
                                  std::string(R"({"revision":1 2,"members":[]})"),
                                  std::string(R"({"revision":1,"members":[],"members":[]})"),
                                  std::string(R"({"revision":1,"complete":7,"members":[]})")}) {
    EXPECT_ANY_THROW(parse({text})) << text;
  }
}

TEST(EndpointListParser, ThrowsTooLargeOnEndlessTextInAnyPart) {
  EndpointListParserLimits limits;
  limits.memory_bytes = 100'000;
  limits.text_bytes = 200'000;
  limits.surrounding_bytes = 10'000;
  const std::string begin = R"({"revision":1,"complete":true,"members":[)";
  const std::string member = R"({"id":"s","phase":"up","host_port":"10.0.0.1:8"})";
  struct EndlessText {
    std::string beginning;
    std::string repeated;
  };
  const std::vector<EndlessText> endless_texts = {
      {begin + member, "," + member},  // entries
      {begin + R"({"id":")", "s"},     // a string in an entry
      {begin, " "},                    // white space between entries
      {begin + "{\"id\":", "[["},      // nested arrays in an entry
      {R"({"x":")", "s"},              // a string before the entries
      {"{\"x\":", "["},
      {"{", "                "},
  };
  for (const EndlessText& text : endless_texts) {
    EndpointListParser parser({"members"}, limits);
    parser.parse_chunk(text.beginning);
    bool rejected = false;
    for (std::size_t i = 0; i < 300'000 && !rejected; ++i) {
      try {
        parser.parse_chunk(text.repeated);
      } catch (const EndpointListTooLarge&) {
        rejected = true;
      }
    }
    EXPECT_TRUE(rejected) << text.beginning;
    EXPECT_LE(parser.bytes_consumed(), limits.text_bytes + text.repeated.size()) << text.beginning;
  }
}

TEST(EndpointListParser, KeepsASampleOfEachShape) {
  EndpointListParser parser({"known", "members"}, {},
                            EndpointListParser::Retain::kEndpointsAndSamples);
  std::string text = R"({"members":[1],"known":{"revision":3,"members":[)";
  for (int i = 0; i < 1000; ++i) {
    text += std::string(i ? "," : "") + R"({"id":"s)" + std::to_string(i) +
            R"(","phase":"up","host_port":"10.0.0.1:8")" + (i == 500 ? R"(,"cell":1})" : "}");
  }
  text += "]}}";
  ASSERT_EQ(parser.parse_chunk(text), text.size());
  const auto rest = parser.surrounding_json();
  ASSERT_EQ(rest["known"]["members"].size(), 2U);
  EXPECT_EQ(rest["known"]["members"][1]["id"], "s500");
  EXPECT_EQ(rest["members"].size(), 1U);
  EXPECT_EQ(parser.take_list(rest["known"]).endpoints.size(), 1000U);
}

TEST(ParseEndpointList, ThrowsOnInvalidLists) {
  for (const char* text :
       {"[]", "{}", R"({"revision":1,"members":[{}]})", R"({"revision":1,"members":[1]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"nowhere:1"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"up","host_port":"127.0.0.1:99999"}]})",
        R"({"revision":1,"members":[{"id":"s","phase":"odd","host_port":"127.0.0.1:9"}]})"}) {
    EXPECT_ANY_THROW(parse_endpoint_list(nlohmann::json::parse(text))) << text;
  }
}

TEST(EndpointListParser, CostIsLinearInTheEndpoints) {
  // Also prints the processor time and the memory that parsing takes.
  constexpr std::size_t kChunkSize = 16384;
  const auto cost = [](int members) {
    std::string text = list_json(1, true, endpoint_entries_json(members));
    text.pop_back();
    const std::size_t bytes = text.size();
    const std::size_t before = resident_memory_bytes();
    const auto started_at = thread_cpu_time_us();
    EndpointListParser parser({"members"});
    for (std::size_t position = 0; position < bytes; position += kChunkSize) {
      parser.parse_chunk(std::string_view(text).substr(position, kChunkSize));
    }
    const EndpointList list = parser.take_list(parser.surrounding_json());
    const auto spent = thread_cpu_time_us() - started_at;
    EXPECT_EQ(list.endpoints.size(), std::size_t(members));
    const std::size_t grown = resident_memory_bytes() - std::min(before, resident_memory_bytes());
    std::cout << members << " endpoints, " << bytes << " bytes: " << spent
              << " us, resident memory grew by " << grown / 1024 << " KiB, "
              << sizeof(ListedEndpoint) << " bytes per endpoint\n";
    return double(spent) / members;
  };
  cost(20'000);
  const double small = cost(20'000);
  const double large = cost(170'000);
  EXPECT_LT(large, 3 * small);
}

}  // namespace
}  // namespace quota_gateway::net::testing
