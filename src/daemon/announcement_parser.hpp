#pragma once

#include "daemon/request_error.hpp"
#include "membership/upstream_announcement.hpp"

#include <boost/outcome/result.hpp>

#include <string_view>

namespace samphire
{

using announcement_parse_result =
    boost::outcome_v2::unchecked<upstream_announcement, request_error>;

/// Reads the JSON body of POST /announce: service (text), address
/// ("a.b.c.d:port"), slots (1 to 100000), and optionally connections, load and
/// cold.
announcement_parse_result parse_announcement(std::string_view body);

} // namespace samphire
