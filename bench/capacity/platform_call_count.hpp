#pragma once

#include "core/product_daemon_core.hpp"
#include "virtual_mesh.hpp"

#include <cstddef>
#include <string>

namespace samphire::bench
{

/// Counts the calls to the platform during `length` by a mesh with
/// `watch_owners` owners of the watch duty. Every domain has four daemons, two
/// of which own it.
inline double
count_platform_calls(std::size_t watch_owners, absl::Duration length)
{
    fake::virtual_mesh<product_policies> mesh{fake::mesh_settings{}};
    for (std::size_t n = 0; n < 2 * watch_owners; ++n)
        mesh.add_node(
            "domain-" + std::to_string(n / 4),
            {.service_ = service_name("echo")});
    std::size_t calls = 0;
    mesh.on_action([&](std::size_t, action const& output)
                   { calls += std::holds_alternative<call_platform>(output); });
    constexpr absl::Duration settle_time = absl::Seconds(30);
    mesh.run_for(settle_time);
    calls = 0;
    mesh.run_for(length);
    return static_cast<double>(calls);
}

} // namespace samphire::bench
