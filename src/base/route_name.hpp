#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Path of one operation of a service, without the leading slash.
using route_name = text_id<struct route_name_tag>;

} // namespace samphire
