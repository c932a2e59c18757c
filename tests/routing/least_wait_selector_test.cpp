#include "routing/least_wait_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace samphire;

TEST_GROUP(least_wait_selector)
{
    least_wait_selector selector;
    random_source random{7};
    service_name const service{"slots"};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
    std::vector<peer_candidate> const peers{
        {.endpoint_ = endpoint(1, 7000), .slots_ = 1},
        {.endpoint_ = endpoint(2, 7000), .slots_ = 1}};

    std::size_t select()
    {
        return *selector.select(service, peers, {}, random, now);
    }

    void finish(std::size_t index, absl::Duration latency)
    {
        endpoint const peer = peers[index].endpoint_;
        selector.on_call_sent(service, peer, now);
        now += latency;
        selector.on_call_finished(
            service, peer, call_outcome::completed, latency, now);
    }
};

// Guards against choosing a near peer although its queue takes longer than the
// transfer to a free one.
TEST(
    least_wait_selector,
    peer_with_queue_loses_to_free_peer_with_longer_transfer)
{
    select();
    finish(0, absl::Milliseconds(20));
    finish(1, absl::Milliseconds(22));
    LONGS_EQUAL(0, select());
    selector.on_call_sent(service, peers[0].endpoint_, now);
    LONGS_EQUAL(1, select());
}
