#include "core/baseline_policies.hpp"
#include "core/product_daemon_core.hpp"
#include "virtual_mesh.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace samphire;

namespace
{

/// Sends requests through a chain of services whose deepest upstreams have
/// crashed. Returns the highest number of retries that one request caused in
/// all calls of the chain.
template <class Policies>
std::size_t max_extra_attempts_per_request(std::size_t hops, std::uint64_t seed)
{
    using call_span = std::pair<std::uint64_t, std::uint64_t>;
    fake::virtual_mesh<Policies> mesh({.seed_ = seed});
    std::vector<service_policy> services;
    for (std::size_t hop = 0; hop < hops; ++hop)
    {
        std::string const name = "s" + std::to_string(hop);
        services.push_back(
            {service_name(name),
             {{.route_ = route_name("list"), .unrepeatable_ = false}}});
        fake::upstream_model const model{
            .service_ = service_name(name),
            .service_time_ = absl::Milliseconds(1),
            .child_calls_ =
                hop + 1 < hops
                    ? std::vector<
                          fake::
                              child_call>{{service_name("s" + std::to_string(hop + 1)), {}}}
                    : std::vector<fake::child_call>{}};
        for (int copy = 0; copy < 3; ++copy)
            mesh.add_node("a", model);
    }
    mesh.set_policy(std::make_shared<policy_document const>(
        policy_document{.revision_ = revision(1), .services_ = services}));
    mesh.run_for(absl::Seconds(10));
    for (std::size_t node = 3 * (hops - 1); node < 3 * hops; ++node)
        mesh.upstream(node).crash(absl::Milliseconds(300));
    std::map<std::uint64_t, std::map<call_span, std::size_t>> starts_by_trace;
    mesh.on_action(
        [&](std::size_t, action const& output)
        {
            auto const* const start = std::get_if<start_at_upstream>(&output);
            if (start)
                ++starts_by_trace[start->trace_.trace_low_][{
                    start->trace_.trace_high_, start->trace_.span_}];
        });
    for (int i = 0; i < 20; ++i)
    {
        mesh.call(1, "s0", "list", std::to_string(i), absl::Seconds(5));
        mesh.run_for(absl::Milliseconds(10));
    }
    mesh.run_for(absl::Seconds(6));
    std::size_t max_extra = 0;
    for (auto const& [trace, calls] : starts_by_trace)
    {
        std::size_t extra = 0;
        for (auto const& [span, count] : calls)
            extra += count - 1;
        max_extra = std::max(max_extra, extra);
    }
    return max_extra;
}

} // namespace

TEST_GROUP(chain_retry){};

// Guards against retries that multiply with the depth of the chain.
TEST(chain_retry, failing_deepest_service_stays_within_the_limit)
{
    for (std::size_t const hops : {std::size_t{5}, std::size_t{19}})
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            CHECK(
                max_extra_attempts_per_request<product_policies>(hops, seed) <=
                3);
    }
}
