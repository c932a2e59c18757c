#include "core/product_daemon_core.hpp"
#include "membership/datagram_budget.hpp"
#include "membership/summary_codec.hpp"
#include "virtual_mesh.hpp"
#include "wire/message_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace samphire;

namespace
{

/// Bytes of one daemon for membership and configuration.
struct traffic
{
    std::size_t sent_{};
    std::size_t received_{};
    std::size_t platform_{};
};

// IP and UDP headers; TCP needs about twice that with its acknowledgement.
constexpr std::size_t datagram_overhead = 28;
constexpr std::size_t stream_overhead = 80;

std::vector<member_record> other_domain(std::string const& name)
{
    std::vector<member_record> result;
    for (unsigned i = 0; i < 425; ++i)
        result.push_back(
            {.daemon_ = daemon_id("node-" + name + "-" + std::to_string(i)),
             .domain_ = domain_name(name),
             .endpoint_ = endpoint(
                 0x0b000001 + static_cast<unsigned>(name.back()) * 1024 + i,
                 7000),
             .incarnation_ = incarnation(1),
             .sequence_ = 3,
             .service_ = service_name("service-" + std::to_string(i % 65)),
             .slots_ = 100,
             .epoch_ = ticket_epoch(1)});
    return result;
}

} // namespace

/// One domain of 425 daemons that run, and 11 more in the platform: 5,100.
TEST_GROUP(rates)
{
    fake::virtual_mesh<product_policies> mutable mesh{
        fake::mesh_settings{.datagram_jitter_ = absl::Milliseconds(5)}};
    message_codec const codec{
        peer_key("secret"),
        {daemon_id("node-100"), incarnation(1), endpoint(1, 1)}};
    std::vector<traffic> counted = std::vector<traffic>(425);
    std::size_t longest_datagram{};
    bool counting{};

    void count(std::size_t index, action const& decided)
    {
        if (!counting)
            return;
        if (auto const* const sent = std::get_if<send_datagram>(&decided))
        {
            std::size_t const size = encoded_size(index, sent->message_);
            longest_datagram = std::max(longest_datagram, size);
            add(index, sent->peer_, size + datagram_overhead);
        }
        if (auto const* const sent = std::get_if<send_to_peer>(&decided))
            add(index,
                sent->peer_,
                encoded_size(index, sent->message_) + stream_overhead);
        if (auto const* const call = std::get_if<call_platform>(&decided))
            counted[index].platform_ +=
                call->request_.value_.size() + 4 * stream_overhead;
    }

    /// The codec here sends as a daemon of the longest id.
    std::size_t encoded_size(std::size_t index, peer_message const& message)
        const
    {
        return codec.encode(message).size() - 8 +
               mesh.daemon(index)
                   .members()
                   .self_record()
                   .daemon_.value()
                   .size();
    }

    void add(std::size_t from, endpoint to, std::size_t size)
    {
        counted[from].sent_ += size;
        std::size_t const index = to.address() - 0x0a000001;
        if (index < counted.size())
            counted[index].received_ += size;
    }
};

// Guards against control traffic above 22 KB/s at the design scale, and against
// datagrams that have to be fragmented.
TEST(rates, domain_of_425_among_5100_stays_within_22_kilobytes_per_second)
{
    mesh.on_action([this](std::size_t index, action const& decided)
                   { count(index, decided); });
    std::set<domain_name> names;
    for (char letter = 'b'; letter < 'b' + 11; ++letter)
    {
        domain_name const name(std::string("domain-") + letter);
        names.insert(name);
        mesh.platform().put(
            object_name("summary/" + name.value()),
            payload(format_summary(name, other_domain(name.value()))));
    }
    mesh.platform().put(object_name("domains"), payload(format_domains(names)));
    for (unsigned i = 0; i < 425; ++i)
        mesh.add_node(
            "domain-a",
            {.service_ = service_name("service-" + std::to_string(i % 65))});
    mesh.run_for(absl::Seconds(45));
    counting = true;
    constexpr int seconds = 40;
    mesh.run_for(absl::Seconds(5));
    mesh.restart(70);
    mesh.kill(71);
    mesh.run_for(absl::Seconds(seconds - 5));

    std::size_t highest = 0;
    std::size_t total = 0;
    std::size_t platform = 0;
    for (traffic const& daemon : counted)
    {
        std::size_t const all =
            daemon.sent_ + daemon.received_ + daemon.platform_;
        highest = std::max(highest, all);
        platform = std::max(platform, daemon.platform_);
        total += all;
    }
    UT_PRINT(StringFromFormat(
                 "bytes/s mean %zu highest %zu platform %zu, longest "
                 "datagram %zu, members %zu",
                 total / counted.size() / seconds,
                 highest / seconds,
                 platform / seconds,
                 longest_datagram,
                 mesh.daemon(3).members().records().size())
                 .asCharString());
    LONGS_EQUAL(5100, mesh.daemon(3).members().records().size());
    CHECK(longest_datagram <= 1200);
    CHECK(highest / seconds <= 22 * 1024);
}

// Guards against sizes that no longer match the codec.
TEST(rates, stated_size_of_a_probe_matches_its_encoding)
{
    daemon_identity const self{
        .daemon_ = daemon_id("node-100"), .endpoint_ = endpoint(1, 1)};
    datagram_budget budget(self);
    std::vector<member_record> records;
    for (member_record const& record : other_domain("domain-b"))
    {
        if (budget.take(record))
            records.push_back(record);
    }
    domain_reachability const reach{domain_name("b"), 1, true};
    bool const fits = budget.take(reach);
    std::vector<domain_reachability> reached;
    if (fits)
        reached.push_back(reach);
    membership_ping const ping{1, revision(1), records, reached};
    LONGS_EQUAL(budget.used(), codec.encode(ping).size());
}
