#pragma once

#include "load/route_share.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// The routes, or an error text that names a part of the mix and the rule that
/// the part breaks.
using route_mix_result =
    boost::outcome_v2::unchecked<std::vector<route_share>, std::string>;

/// Parses "service/route[:weight[:normal|important[:short|long]]]" joined by
/// commas; the weight is 1 to 1000000.
route_mix_result parse_route_mix(std::string_view text);

} // namespace samphire
