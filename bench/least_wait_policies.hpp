#pragma once

#include "core/product_policies.hpp"
#include "routing/least_wait_selector.hpp"

namespace samphire::bench
{

/// Compile-time strategies of the product, except that upstreams are selected
/// by least_wait_selector, a candidate for the product's selector.
struct least_wait_policies : product_policies
{
    using selector = least_wait_selector;
};

static_assert(policies<least_wait_policies>);

} // namespace samphire::bench
