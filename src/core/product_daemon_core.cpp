#include "core/product_daemon_core.hpp"

namespace samphire
{

template class daemon_core<product_policies>;
template class daemon_core<baseline_policies>;

} // namespace samphire
