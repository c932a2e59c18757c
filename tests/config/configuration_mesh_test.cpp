#include "core/baseline_policies.hpp"
#include "core/product_daemon_core.hpp"
#include "policy/policy_codec.hpp"
#include "virtual_mesh.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace samphire;

namespace
{

constexpr std::array<std::uint64_t, 5> seeds{1, 20, 300, 4, 5};

payload document(std::uint64_t number, std::uint32_t extra_attempts = 3)
{
    return payload(format_policy(
        {.revision_ = revision(number),
         .retries_ = {.extra_attempts_ = extra_attempts},
         .services_ = {
             {.service_ = service_name("back"), .routes_ = {}},
             {.service_ = service_name("front"),
              .routes_ = {{.route_ = route_name("list")}}}}}));
}

/// Two failure domains whose datagrams are lost, repeated and reordered. Counts
/// refused documents, sent sections and reverted revisions.
template <policies Policies>
class policy_mesh
{
public:
    explicit policy_mesh(std::uint64_t seed)
        : mesh_(
              {.seed_ = seed,
               .datagram_jitter_ = absl::Milliseconds(20),
               .datagram_loss_percent_ = 20,
               .datagram_repeat_percent_ = 20})
    {
        mesh_.on_action([this](std::size_t, action const& decided)
                        { observe(decided); });
        for (std::size_t i = 0; i < 24; ++i)
            mesh_.add_node(
                i % 2 == 0 ? "a" : "b", {.service_ = service_name("front")});
        mesh_.run_for(absl::Seconds(15));
    }

    fake::virtual_mesh<Policies>& mesh()
    {
        return mesh_;
    }

    void write_policy(payload const& value)
    {
        mesh_.platform().put(object_name("policy"), value);
    }

    /// Returns the number of live daemons in which the revision is in force
    /// now.
    std::size_t daemons_with_revision(std::uint64_t number)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < mesh_.size(); ++i)
            count += mesh_.alive(i) &&
                     mesh_.daemon(i).policy().revision_ == revision(number);
        return count;
    }

    std::size_t refused_documents() const
    {
        return refused_documents_;
    }

    std::size_t sections_sent() const
    {
        return sections_sent_;
    }

    std::size_t reversions() const
    {
        return reversions_;
    }

private:
    void observe(action const& decided)
    {
        if (auto const* const sent = std::get_if<send_to_peer>(&decided))
        {
            auto const* const reply =
                std::get_if<section_reply>(&sent->message_);
            if (reply)
                sections_sent_ += reply->changed_sections_.size();
        }
        auto const* const log = std::get_if<emit_log>(&decided);
        if (!log)
            return;
        refused_documents_ += log->event_.name_ == "policy_refused";
        if (log->event_.name_ == "policy_in_force")
            reversions_ += std::stoull(log->event_.fields_[0].value_) <
                           std::stoull(log->event_.fields_[1].value_);
    }

    fake::virtual_mesh<Policies> mesh_;
    std::size_t refused_documents_{};

    std::size_t sections_sent_{};
    std::size_t reversions_{};
};

using product_mesh = policy_mesh<product_policies>;
using baseline_mesh = policy_mesh<baseline_policies>;

} // namespace

TEST_GROUP(configuration_mesh){
    static void run(product_mesh & tested_mesh, int seconds){
        tested_mesh.mesh().run_for(absl::Seconds(seconds));
}
}
;

// Guards against a document that reaches only the daemons that watch the
// platform.
TEST(configuration_mesh, written_document_is_in_force_everywhere_in_15_seconds)
{
    for (std::uint64_t const seed : seeds)
    {
        product_mesh tested_mesh(seed);
        tested_mesh.write_policy(document(1));
        run(tested_mesh, 15);
        LONGS_EQUAL(24, tested_mesh.daemons_with_revision(1));
    }
}

// Guards against sending sections that the receiver already has.
TEST(configuration_mesh, change_outside_the_sections_sends_no_section)
{
    product_mesh tested_mesh(seeds[0]);
    tested_mesh.write_policy(document(1));
    run(tested_mesh, 15);
    std::size_t const before = tested_mesh.sections_sent();
    CHECK(before > 0);
    tested_mesh.write_policy(document(2, 5));
    run(tested_mesh, 15);
    LONGS_EQUAL(24, tested_mesh.daemons_with_revision(2));
    LONGS_EQUAL(before, tested_mesh.sections_sent());
}

// Guards against a domain that keeps an old document after a partition, and
// against a partition that reverts an accepted document.
TEST(configuration_mesh, change_during_partition_is_in_force_after_the_heal)
{
    for (std::uint64_t const seed : seeds)
    {
        product_mesh tested_mesh(seed);
        tested_mesh.write_policy(document(1));
        run(tested_mesh, 15);
        tested_mesh.mesh().cut("b");
        tested_mesh.write_policy(document(2));
        run(tested_mesh, 30);
        LONGS_EQUAL(12, tested_mesh.daemons_with_revision(1));
        LONGS_EQUAL(12, tested_mesh.daemons_with_revision(2));
        tested_mesh.mesh().heal("b");
        run(tested_mesh, 15);
        LONGS_EQUAL(24, tested_mesh.daemons_with_revision(2));
        LONGS_EQUAL(0, tested_mesh.reversions());
    }
}

// Guards against a lower revision that replaces a higher one, from any source.
TEST(configuration_mesh, lower_revision_after_a_higher_one_is_never_in_force)
{
    for (std::uint64_t const seed : seeds)
    {
        product_mesh tested_mesh(seed);
        tested_mesh.write_policy(document(7));
        run(tested_mesh, 15);
        tested_mesh.write_policy(document(6));
        run(tested_mesh, 15);
        LONGS_EQUAL(24, tested_mesh.daemons_with_revision(7));
        LONGS_EQUAL(0, tested_mesh.reversions());
    }
}

// Shows that the check for reversions fails without monotonic revisions.
TEST(configuration_mesh, baseline_reverts_to_a_lower_revision)
{
    baseline_mesh tested_mesh(seeds[0]);
    tested_mesh.write_policy(document(7));
    tested_mesh.mesh().run_for(absl::Seconds(15));
    tested_mesh.write_policy(document(6));
    tested_mesh.mesh().run_for(absl::Seconds(15));
    CHECK(tested_mesh.reversions() > 0);
}

// Guards against two racing operators whose writes are both confirmed, and
// against the loss of a third document that is written after them.
TEST(configuration_mesh, one_of_two_racing_writes_conflicts_and_a_third_follows)
{
    for (std::uint64_t const seed : seeds)
    {
        product_mesh tested_mesh(seed);
        auto const put = [&](object_version version, payload const& value)
        {
            return tested_mesh.mesh().platform().call(
                {platform_method::put_if,
                 object_name("policy"),
                 version,
                 value});
        };
        platform_result const first = put({}, document(1, 4));
        platform_result const second = put({}, document(1, 5));
        CHECK(first.status_ == platform_status::ok);
        CHECK(second.status_ == platform_status::conflict);
        run(tested_mesh, 1);
        CHECK(
            put(second.version_, document(2, 6)).status_ ==
            platform_status::ok);
        run(tested_mesh, 15);
        LONGS_EQUAL(24, tested_mesh.daemons_with_revision(2));
        LONGS_EQUAL(0, tested_mesh.reversions());
    }
}

// Guards against an outage or lost answers of the platform that block a change
// permanently, or unload the document in force.
TEST(configuration_mesh, change_is_in_force_after_outage_and_lost_answers)
{
    for (std::uint64_t const seed : seeds)
    {
        product_mesh tested_mesh(seed);
        tested_mesh.write_policy(document(1));
        run(tested_mesh, 15);
        tested_mesh.mesh().platform().set_unavailable(true);
        tested_mesh.write_policy(document(2));
        run(tested_mesh, 60);
        LONGS_EQUAL(24, tested_mesh.daemons_with_revision(1));
        tested_mesh.mesh().platform().set_lost_answer_percent(50);
        tested_mesh.mesh().platform().set_unavailable(false);
        run(tested_mesh, 15);
        LONGS_EQUAL(24, tested_mesh.daemons_with_revision(2));
    }
}

// Guards against a malformed document that replaces the one in force.
TEST(configuration_mesh, malformed_document_is_refused_and_logged)
{
    product_mesh tested_mesh(seeds[0]);
    tested_mesh.write_policy(document(1));
    run(tested_mesh, 15);
    tested_mesh.write_policy(payload("{\"revision\": 2, \"services\": 7}"));
    run(tested_mesh, 15);
    LONGS_EQUAL(24, tested_mesh.daemons_with_revision(1));
    CHECK(tested_mesh.refused_documents() > 0);
    tested_mesh.write_policy(document(3));
    run(tested_mesh, 15);
    LONGS_EQUAL(24, tested_mesh.daemons_with_revision(3));
}

// Guards against a restarted or resumed daemon that serves an old document: the
// daemon has to get the current document from its peers while the platform is
// unavailable.
TEST(
    configuration_mesh, restarted_and_resumed_daemons_have_the_current_revision)
{
    for (std::uint64_t const seed : seeds)
    {
        product_mesh tested_mesh(seed);
        tested_mesh.write_policy(document(1));
        run(tested_mesh, 15);
        tested_mesh.mesh().pause(6, absl::Seconds(30));
        tested_mesh.write_policy(document(2));
        run(tested_mesh, 15);
        tested_mesh.mesh().platform().set_unavailable(true);
        tested_mesh.mesh().restart(4);
        run(tested_mesh, 3);
        CHECK(tested_mesh.mesh().daemon(4).policy().revision_ == revision(2));
        run(tested_mesh, 27);
        CHECK(tested_mesh.mesh().daemon(6).policy().revision_ == revision(2));
    }
}
