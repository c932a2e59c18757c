#pragma once

#include "core/baseline_policies.hpp"
#include "core/daemon_core.hpp"
#include "core/product_policies.hpp"

namespace samphire
{

// daemon_core is instantiated only in product_daemon_core.cpp, because the
// template is slow to compile.
extern template class daemon_core<product_policies>;
extern template class daemon_core<baseline_policies>;

using product_daemon_core = daemon_core<product_policies>;
using baseline_daemon_core = daemon_core<baseline_policies>;

} // namespace samphire
