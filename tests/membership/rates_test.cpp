#include "domain_traffic.hpp"
#include "membership/datagram_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(rates){};

// Guards against control traffic above 22 KB/s, and against datagrams that must
// be fragmented. The program measure-membership checks the same for a domain of
// 425 among 5,100 daemons, which takes too long here under a sanitizer.
TEST(rates, domain_of_60_among_720_stays_within_22_kilobytes_per_second)
{
    fake::domain_traffic traffic(60, 11);
    auto const measured = traffic.measure();
    LONGS_EQUAL(720, measured.members_);
    CHECK(measured.max_datagram_bytes_ <= 1200);
    CHECK(measured.peak_bytes_per_s_ <= 22 * 1024);
}

// Guards against sizes in datagram_budget that no longer match the codec.
TEST(rates, stated_size_of_a_probe_matches_its_encoding)
{
    daemon_identity const self{
        .daemon_ = daemon_id("node-100"), .endpoint_ = endpoint(1, 1)};
    message_codec const codec{
        peer_key("secret"), {self.daemon_, incarnation(1), endpoint(1, 1)}};
    datagram_budget budget(self);
    std::vector<member_record> records;
    for (member_record const& record :
         fake::domain_traffic::members_of("domain-b", 425))
    {
        if (budget.try_reserve(record))
            records.push_back(record);
    }
    domain_reachability const reachability{domain_name("b"), 1, true};
    std::vector<domain_reachability> reports;
    if (budget.try_reserve(reachability))
        reports.push_back(reachability);
    membership_ping const ping{1, revision(1), records, reports};
    LONGS_EQUAL(budget.used_bytes(), codec.encode(ping).size());
}
