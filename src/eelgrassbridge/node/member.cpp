// Encodes and decodes member rows as JSON.
#include "eelgrassbridge/node/member.hpp"

#include <nlohmann/json.hpp>

#include "eelgrassbridge/base/json_value.hpp"
#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::node {

using nlohmann::json;

std::string EncodeMember(const Member& member) {
  return json{{"address", member.address}, {"data_centre", member.data_centre},
              {"service", member.service}, {"target", member.target},
              {"born", member.born},       {"slots", member.slots},
              {"serving", member.serving}, {"link_mbps", member.link_mbps}}
      .dump();
}

base::Result<Member> DecodeMember(std::string_view text) {
  try {
    const json value = json::parse(text);
    Member member;
    member.address = value.at("address").get<std::string>();
    member.data_centre = value.at("data_centre").get<std::string>();
    member.service = value.at("service").get<std::string>();
    member.target = base::JsonName(value.at("target"));
    member.born = base::JsonInteger<std::int64_t>(value.at("born"));
    member.slots = base::JsonInteger(value.at("slots"), ranges::kMaxSlots);
    // Absent in rows of daemons that know no relays.
    member.link_mbps = value.value("link_mbps", 0.0);
    member.serving = value.at("serving").get<bool>();
    if (!http::ParseEndpoint(member.address)) {
      return base::Fail(base::ErrorKind::kFrameInvalid,
                        "the address is not of the form IP:PORT");
    }
    return member;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const base::InvalidJsonValue& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
}

}  // namespace eelgrassbridge::node
