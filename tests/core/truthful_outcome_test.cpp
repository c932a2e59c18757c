#include "core/baseline_policies.hpp"
#include "core/product_daemon_core.hpp"
#include "virtual_mesh.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

namespace
{

/// Simulates two failure domains with three upstreams of one service each.
template <class Policies>
class two_domain_mesh
{
public:
    explicit two_domain_mesh(
        std::uint64_t seed,
        absl::Duration service_time = absl::Milliseconds(50))
        : mesh_({.seed_ = seed, .datagram_loss_percent_ = 5})
    {
        for (std::size_t i = 0; i < 6; ++i)
            mesh_.add_node(
                i < 3 ? "a" : "b",
                {.service_ = service_name("book"),
                 .service_time_ = service_time});
        std::vector<route_policy> const routes{
            {.route_ = route_name("list"), .unrepeatable_ = false},
            {.route_ = route_name("pay")}};
        mesh_.set_policy(
            std::make_shared<policy_document const>(policy_document{
                .revision_ = revision(1),
                .services_ = {{service_name("book"), routes}}}));
        mesh_.run_for(absl::Seconds(8));
    }

    fake::virtual_mesh<Policies>& mesh()
    {
        return mesh_;
    }

    /// Returns the index of the node whose upstream runs a request, or the
    /// number of nodes when no upstream runs one.
    std::size_t running_node_index()
    {
        for (std::size_t i = 0; i < mesh_.size(); ++i)
        {
            if (mesh_.upstream(i).running() > 0)
                return i;
        }
        return mesh_.size();
    }

    unsigned run_count(std::string const& work) const
    {
        auto const all = mesh_.runs();
        auto const found = all.find("book " + work);
        return found == all.end() ? 0 : found->second;
    }

    answer_caller const* answer(std::uint64_t number) const
    {
        return mesh_.record(number).answer();
    }

    unsigned crash_count()
    {
        unsigned total = 0;
        for (std::size_t i = 0; i < mesh_.size(); ++i)
            total += mesh_.upstream(i).crashes();
        return total;
    }

private:
    fake::virtual_mesh<Policies> mesh_;
};

/// Kills or pauses the guard that runs a payment, then sends the payment with
/// the same key through every other daemon. Returns the runs of the payment.
template <class Policies>
unsigned runs_after_guard_fault(std::uint64_t seed, bool pause)
{
    two_domain_mesh<Policies> fixture(seed);
    auto& mesh = fixture.mesh();
    std::size_t const receiving_node = seed % 3;
    std::uint64_t const first = mesh.call(
        receiving_node,
        "book",
        "pay",
        "x",
        absl::Seconds(2),
        std::nullopt,
        "key");
    mesh.run_for(absl::Milliseconds(30));
    std::size_t const guard = fixture.running_node_index();
    CHECK(guard < mesh.size());
    if (pause)
        mesh.pause(guard, absl::Seconds(30));
    else
        mesh.restart(guard);
    mesh.run_for(absl::Seconds(3));
    auto const* const first_answer = fixture.answer(first);
    std::optional<execution_ticket> const ticket =
        first_answer ? first_answer->ticket_ : std::nullopt;
    for (std::size_t other = 0; other < mesh.size(); ++other)
    {
        if (other == guard)
            continue;
        mesh.call(
            other,
            "book",
            "pay",
            "x",
            absl::Seconds(2),
            other % 2 == 0 ? ticket : std::nullopt,
            "key");
        mesh.run_for(absl::Milliseconds(500));
    }
    mesh.run_for(absl::Seconds(40));
    return fixture.run_count("pay x");
}

/// Sends a request that crashes upstreams 20 times. Returns the number of
/// upstream crashes.
template <class Policies>
unsigned crashes_of_resent_request(std::uint64_t seed, std::string const& route)
{
    two_domain_mesh<Policies> fixture(seed);
    auto& mesh = fixture.mesh();
    for (std::size_t i = 0; i < mesh.size(); ++i)
        mesh.upstream(i).crash_on("crash", absl::Milliseconds(500));
    // Cuts off domain b, because datagrams about suspects stay in one domain.
    mesh.cut("b");
    for (int send = 0; send < 20; ++send)
    {
        mesh.call(static_cast<std::size_t>(send) % 3, "book", route, "crash");
        mesh.call(static_cast<std::size_t>(send) % 3, "book", "list", "fine");
        mesh.run_for(absl::Milliseconds(300));
    }
    mesh.run_for(absl::Seconds(3));
    return fixture.crash_count();
}

} // namespace

TEST_GROUP(truthful_outcome){};

// Guards against a second payment when the guard is killed while it runs the
// first and the caller repeats the request through another failure domain.
TEST(truthful_outcome, killed_guard_runs_payment_once)
{
    unsigned baseline = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        LONGS_EQUAL(1, runs_after_guard_fault<product_policies>(seed, false));
        baseline += runs_after_guard_fault<baseline_policies>(seed, false);
    }
    CHECK(baseline > 10);
}

// Guards against a second payment when the guard is paused for longer than
// every timeout and then resumes.
TEST(truthful_outcome, paused_guard_runs_payment_once)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        LONGS_EQUAL(1, runs_after_guard_fault<product_policies>(seed, true));
}

// Guards against a second payment when the platform binds the key but its
// answer is lost.
TEST(truthful_outcome, lost_platform_answer_runs_payment_once)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        two_domain_mesh<product_policies> fixture(seed);
        auto& mesh = fixture.mesh();
        mesh.platform().set_lost_answer_percent(50);
        for (std::size_t receiving_node = 0; receiving_node < 6;
             ++receiving_node)
            mesh.call(
                receiving_node,
                "book",
                "pay",
                "x",
                absl::Seconds(8),
                std::nullopt,
                "k");
        mesh.run_for(absl::Seconds(10));
        mesh.platform().set_lost_answer_percent(0);
        std::uint64_t const last = mesh.call(
            0, "book", "pay", "x", absl::Seconds(8), std::nullopt, "k");
        mesh.run_for(absl::Seconds(10));
        LONGS_EQUAL(1, fixture.run_count("pay x"));
        STRCMP_EQUAL("ok x", fixture.answer(last)->body_.bytes().c_str());
    }
}

// Guards against a graceful restart that interrupts requests, loses an answer
// or lets a repeated request run twice.
TEST(truthful_outcome, graceful_restart_of_every_daemon_completes_every_call)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        two_domain_mesh<product_policies> fixture(seed);
        auto& mesh = fixture.mesh();
        std::vector<std::uint64_t> calls;
        for (std::size_t node = 0; node < mesh.size(); ++node)
        {
            for (int i = 0; i < 300; ++i)
            {
                std::size_t const receiving_node =
                    (node + 1 + mesh.random()() % 5) % mesh.size();
                calls.push_back(mesh.call(
                    receiving_node,
                    "book",
                    i % 2 == 0 ? "list" : "pay",
                    "r" + std::to_string(calls.size())));
                if (i == 50)
                    mesh.deliver(node, shutdown_requested{});
                mesh.run_for(absl::Milliseconds(5));
            }
            CHECK(!mesh.alive(node));
            mesh.restart(node);
            mesh.run_for(absl::Seconds(6));
        }
        for (std::uint64_t const number : calls)
        {
            CHECK(fixture.answer(number) != nullptr);
            CHECK(fixture.answer(number)->outcome_ == call_outcome::completed);
        }
        // A repeatable call may run twice, because a second copy of a slow call
        // is sent.
        for (auto const& [work, count] : mesh.runs())
            CHECK(count == 1 || work.starts_with("book list"));
    }
}

// Guards against a repeated request that runs again, or ends with outcome
// unknown, after its guard stopped gracefully.
TEST(truthful_outcome, successor_answers_resend_of_stopped_guard)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        two_domain_mesh<product_policies> fixture(seed);
        auto& mesh = fixture.mesh();
        std::uint64_t const first = mesh.call(0, "book", "pay", "x");
        mesh.run_for(absl::Milliseconds(30));
        std::size_t const guard = fixture.running_node_index();
        mesh.deliver(guard, shutdown_requested{});
        mesh.run_for(absl::Seconds(4));
        CHECK(!mesh.alive(guard));
        auto const ticket = fixture.answer(first)->ticket_;
        std::uint64_t const second = mesh.call(
            guard == 1 ? 2 : 1, "book", "pay", "x", absl::Seconds(2), ticket);
        mesh.run_for(absl::Seconds(3));
        STRCMP_EQUAL("ok x", fixture.answer(second)->body_.bytes().c_str());
        LONGS_EQUAL(1, fixture.run_count("pay x"));
    }
}

// Guards against a repeated request that crashes one upstream after another.
TEST(truthful_outcome, resent_crash_request_crashes_two_at_most)
{
    unsigned baseline = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CHECK(crashes_of_resent_request<product_policies>(seed, "list") <= 2);
        CHECK(crashes_of_resent_request<product_policies>(seed, "pay") <= 2);
        baseline += crashes_of_resent_request<baseline_policies>(seed, "list");
    }
    CHECK(baseline > 100);
}

// Guards against an answer that reaches a later call of the same caller.
TEST(truthful_outcome, answer_after_the_deadline_reaches_no_caller)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        two_domain_mesh<product_policies> fixture(seed, absl::Seconds(1));
        auto& mesh = fixture.mesh();
        std::vector<std::uint64_t> calls;
        for (int i = 0; i < 20; ++i)
            calls.push_back(mesh.call(
                0,
                "book",
                i % 2 == 0 ? "list" : "pay",
                std::to_string(i),
                absl::Milliseconds(300 + 100 * (i % 12))));
        mesh.run_for(absl::Seconds(5));
        for (std::size_t i = 0; i < calls.size(); ++i)
        {
            auto const& record = mesh.record(calls[i]);
            CHECK(record.answer() != nullptr);
            LONGS_EQUAL(0, record.extra_answers());
            bool const completed =
                record.answer()->outcome_ == call_outcome::completed;
            STRCMP_EQUAL(
                completed ? ("ok " + std::to_string(i)).c_str() : "",
                record.answer()->body_.bytes().c_str());
        }
    }
}
