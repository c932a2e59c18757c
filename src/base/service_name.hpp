#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of a service.
using service_name = text_id<struct service_name_tag>;

} // namespace samphire
