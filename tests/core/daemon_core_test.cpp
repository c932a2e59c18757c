#include "core/product_daemon_core.hpp"
#include "virtual_mesh.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(daemon_core)
{
    fake::virtual_mesh<product_policies> mesh{fake::mesh_settings{}};

    void setup() override
    {
        mesh.add_node(
            "a",
            {.service_ = service_name("front"),
             .child_calls_ = {{service_name("back"), route_name("read")}}});
        mesh.add_node("a", {.service_ = service_name("back")});
        mesh.add_node("a", {.service_ = service_name("back")});
        mesh.run_for(absl::Seconds(10));
    }

    answer_caller const* answer_of(std::uint64_t number) const
    {
        return mesh.record(number).answer();
    }
};

// Guards against a call through two services that skips one or calls it twice.
TEST(daemon_core, call_of_two_hops_is_completed)
{
    std::uint64_t const number = mesh.call(2, "front", "list", "x");
    mesh.run_for(absl::Seconds(3));
    CHECK(answer_of(number) != nullptr);
    CHECK(answer_of(number)->outcome_ == call_outcome::completed);
    STRCMP_EQUAL("ok x", answer_of(number)->body_.bytes().c_str());
    LONGS_EQUAL(1, mesh.runs().at("back read x"));
}

// Guards against a second run when the guard is killed while it runs a request
// and the caller sends the same ticket through another daemon.
TEST(daemon_core, resend_after_guard_was_killed_is_unknown_and_runs_once)
{
    std::uint64_t const first = mesh.call(2, "front", "list", "x");
    mesh.run_for(absl::Milliseconds(5));
    mesh.restart(0);
    mesh.run_for(absl::Seconds(5));
    CHECK(answer_of(first)->outcome_ == call_outcome::unknown);
    std::uint64_t const second = mesh.call(
        1, "front", "list", "x", absl::Seconds(2), answer_of(first)->ticket_);
    mesh.run_for(absl::Seconds(5));
    CHECK(answer_of(second)->outcome_ == call_outcome::unknown);
    LONGS_EQUAL(1, mesh.runs().at("front list x"));
}

TEST_GROUP(guard_of_a_lost_entry)
{
    fake::virtual_mesh<product_policies> mesh{fake::mesh_settings{}};

    void setup() override
    {
        mesh.add_node(
            "a",
            {.service_ = service_name("front"),
             .slots_ = 1,
             .service_time_ = absl::Seconds(1)});
        mesh.add_node("a", {.service_ = service_name("back")});
        mesh.run_for(absl::Seconds(10));
    }

    unsigned run_count(std::string const& body) const
    {
        auto const all = mesh.runs();
        auto const found = all.find("front list " + body);
        return found == all.end() ? 0 : found->second;
    }
};

// Guards against work for callers of an entry that has ended: such an entry
// cannot cancel its waiting requests.
TEST(guard_of_a_lost_entry, waiting_request_is_not_started)
{
    mesh.call(1, "front", "list", "first", absl::Seconds(5));
    mesh.run_for(absl::Milliseconds(100));
    mesh.call(1, "front", "list", "second", absl::Seconds(5));
    mesh.run_for(absl::Milliseconds(100));
    LONGS_EQUAL(1, run_count("first"));
    mesh.kill(1);
    mesh.run_for(absl::Seconds(4));
    LONGS_EQUAL(0, run_count("second"));
}
