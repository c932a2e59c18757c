#pragma once

#include "core/product_daemon_core.hpp"
#include "virtual_mesh.hpp"

#include <cstddef>
#include <string>

namespace samphire::bench
{

/// Returns the number of platform calls that a mesh makes during `length`, when
/// `watch_owners` of its daemons watch the platform. Each domain has four
/// daemons, two of which watch the platform.
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
    constexpr absl::Duration settle_duration = absl::Seconds(30);
    mesh.run_for(settle_duration);
    calls = 0;
    mesh.run_for(length);
    return static_cast<double>(calls);
}

} // namespace samphire::bench
