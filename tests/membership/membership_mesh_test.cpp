#include "core/product_daemon_core.hpp"
#include "virtual_mesh.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace samphire;

namespace
{

constexpr std::array<std::uint64_t, 5> seeds{1, 20, 300, 4, 5};

} // namespace

/// Runs each check on simulated meshes with several seeds, in which datagrams
/// are lost, repeated and reordered.
TEST_GROUP(membership_mesh)
{
    using mesh_type = fake::virtual_mesh<product_policies>;

    static fake::mesh_settings settings(std::uint64_t seed, unsigned loss)
    {
        return {
            .seed_ = seed,
            .datagram_jitter_ = absl::Milliseconds(20),
            .datagram_loss_percent_ = loss,
            .datagram_repeat_percent_ = 20};
    }

    static void add_domain(
        mesh_type & mesh, std::string const& domain, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            mesh.add_node(domain, {.service_ = service_name("front")});
    }

    /// Returns the number of daemons that offer the node as a peer.
    static std::size_t count_daemons_offering(
        mesh_type & mesh, std::size_t node)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < mesh.size(); ++i)
        {
            if (i == node || !mesh.alive(i))
                continue;
            auto& members = const_cast<membership&>(mesh.daemon(i).members());
            for (peer_candidate const& candidate :
                 members.candidates(service_name("front")))
                count += candidate.endpoint_ == mesh_type::address(node);
        }
        return count;
    }

    /// Returns the number of daemons that know the node and do not consider it
    /// gone. At heavy loss some suspect it briefly, which excludes it from
    /// routing until it refutes.
    static std::size_t count_daemons_knowing(mesh_type & mesh, std::size_t node)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < mesh.size(); ++i)
        {
            if (i == node || !mesh.alive(i))
                continue;
            for (member_record const& record :
                 mesh.daemon(i).members().records())
                count += record.endpoint_ == mesh_type::address(node) &&
                         record.status_ != member_status::gone;
        }
        return count;
    }

    static bool are_all_nodes_offered(mesh_type & mesh)
    {
        for (std::size_t i = 0; i < mesh.size(); ++i)
        {
            if (count_daemons_offering(mesh, i) != mesh.size() - 1)
                return false;
        }
        return true;
    }
};

// Guards against members that never learn of each other.
TEST(membership_mesh, started_members_know_each_other_at_heavy_loss)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 20));
        add_domain(mesh, "a", 30);
        mesh.run_for(absl::Seconds(15));
        std::size_t known = 0;
        for (std::size_t i = 0; i < mesh.size(); ++i)
            known += mesh.daemon(i).members().records().size();
        LONGS_EQUAL(30 * 30, known);
    }
}

// Guards against sending requests to a killed member for a long time.
TEST(membership_mesh, killed_member_is_out_of_routing_within_five_seconds)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 0));
        add_domain(mesh, "a", 30);
        mesh.run_for(absl::Seconds(15));
        LONGS_EQUAL(29, count_daemons_offering(mesh, 7));
        mesh.kill(7);
        mesh.run_for(absl::Seconds(5));
        LONGS_EQUAL(0, count_daemons_offering(mesh, 7));
        mesh.run_for(absl::Seconds(5));
        for (std::size_t i = 0; i < mesh.size(); ++i)
        {
            if (i == 7)
                continue;
            for (member_record const& record :
                 mesh.daemon(i).members().records())
                CHECK(
                    record.endpoint_ != mesh_type::address(7) ||
                    record.status_ == member_status::gone);
        }
    }
}

// Guards against living members that are declared gone on a lossy network: at
// 20% loss the suspicions must be refuted.
TEST(membership_mesh, no_living_member_is_gone_at_heavy_loss)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 20));
        add_domain(mesh, "a", 30);
        mesh.run_for(absl::Seconds(15));
        unsigned gone = 0;
        for (unsigned second = 0; second < 120; ++second)
        {
            mesh.run_for(absl::Seconds(1));
            for (std::size_t i = 0; i < mesh.size(); ++i)
                for (member_record const& record :
                     mesh.daemon(i).members().records())
                    gone += record.status_ == member_status::gone;
        }
        LONGS_EQUAL(0, gone);
    }
}

// Guards against records of an earlier incarnation that exclude a restarted
// daemon with the same id from routing.
TEST(membership_mesh, restarted_member_is_offered_again)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 20));
        add_domain(mesh, "a", 12);
        mesh.run_for(absl::Seconds(15));
        mesh.kill(5);
        mesh.run_for(absl::Seconds(10));
        mesh.restart(5);
        mesh.run_for(absl::Seconds(15));
        LONGS_EQUAL(11, count_daemons_offering(mesh, 5));
    }
}

// Guards against a paused daemon that remains gone after it resumes, or that
// then considers the others gone because its own timers expired.
TEST(membership_mesh, paused_member_and_the_others_are_offered_after_resuming)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 0));
        add_domain(mesh, "a", 12);
        mesh.run_for(absl::Seconds(15));
        mesh.pause(4, absl::Seconds(20));
        mesh.run_for(absl::Seconds(15));
        LONGS_EQUAL(0, count_daemons_offering(mesh, 4));
        mesh.run_for(absl::Seconds(15));
        CHECK(are_all_nodes_offered(mesh));
    }
}

// Guards against new requests to a member that is leaving, even when its notice
// to some members is lost.
TEST(membership_mesh, leaving_member_is_not_offered_after_three_seconds)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 20));
        add_domain(mesh, "a", 30);
        mesh.run_for(absl::Seconds(15));
        mesh.deliver(3, drain_requested{});
        mesh.run_for(absl::Seconds(3));
        LONGS_EQUAL(0, count_daemons_offering(mesh, 3));
    }
}

// Guards against domains that never learn of each other: the seeds are in one
// of them, and the others find their peers through the platform.
TEST(membership_mesh, members_of_other_domains_are_offered_through_summaries)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 20));
        for (char const* const domain : {"a", "b", "c"})
            add_domain(mesh, domain, 8);
        mesh.run_for(absl::Seconds(30));
        for (std::size_t i = 0; i < mesh.size(); ++i)
            LONGS_EQUAL(23, count_daemons_knowing(mesh, i));
        mesh.kill(20);
        mesh.run_for(absl::Seconds(20));
        LONGS_EQUAL(0, count_daemons_offering(mesh, 20));
    }
}

// Guards against members of other domains that are dropped or remain unknown
// while the platform is unavailable, and against stale summaries after lost
// platform answers.
TEST(membership_mesh, outage_and_lost_answers_keep_and_update_other_domains)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 20));
        for (char const* const domain : {"a", "b"})
            add_domain(mesh, domain, 8);
        mesh.platform().set_lost_answer_percent(50);
        mesh.run_for(absl::Seconds(30));
        for (std::size_t i = 0; i < mesh.size(); ++i)
            LONGS_EQUAL(15, count_daemons_knowing(mesh, i));
        mesh.platform().set_unavailable(true);
        mesh.kill(12);
        mesh.run_for(absl::Seconds(60));
        LONGS_EQUAL(0, count_daemons_offering(mesh, 12));
        for (std::size_t i = 0; i < mesh.size(); ++i)
            LONGS_EQUAL(i == 12 ? 0 : 14, count_daemons_knowing(mesh, i));
    }
}

// Guards against requests to a domain that is cut off while the platform still
// lists it, and against a healed partition that is not detected.
TEST(membership_mesh, cut_domain_is_not_offered_until_it_heals)
{
    for (std::uint64_t const seed : seeds)
    {
        mesh_type mesh(settings(seed, 0));
        for (char const* const domain : {"a", "b", "c"})
            add_domain(mesh, domain, 8);
        mesh.run_for(absl::Seconds(30));
        mesh.platform().set_unavailable(true);
        mesh.cut("c");
        mesh.run_for(absl::Seconds(15));
        for (std::size_t i = 16; i < 24; ++i)
            LONGS_EQUAL(7, count_daemons_offering(mesh, i));
        mesh.heal("c");
        mesh.run_for(absl::Seconds(10));
        CHECK(are_all_nodes_offered(mesh));
    }
}
