#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Number of a retention period of the execution records at one guard.
using ticket_epoch = numeric_id<struct ticket_epoch_tag>;

} // namespace samphire
