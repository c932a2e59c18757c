#include "capacity/core_pair.hpp"
#include "capacity/heap_bytes.hpp"
#include "capacity/platform_call_count.hpp"
#include "capacity/slope_measure.hpp"
#include "daemon/status_page.hpp"
#include "execution/execution_registry.hpp"
#include "policy/policy_index.hpp"
#include "wire/message_codec.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <cstdio>
#include <stdexcept>

namespace samphire::bench
{

namespace
{

constexpr absl::Time start_time = absl::FromUnixSeconds(1'700'000'000);
constexpr unsigned repeat_count = 3;

double call_processor_time_us(std::size_t core, std::size_t calls)
{
    core_pair pair;
    for (std::size_t n = 0; n < calls; ++n)
    {
        pair.call();
        pair.advance();
    }
    if (pair.completed_answers() != calls)
        throw std::runtime_error("not every call was answered");
    return pair.processor_time(core);
}

double call_memory_bytes(std::size_t calls)
{
    core_pair pair;
    pair.withhold_answers();
    double const before = heap_bytes();
    for (std::size_t n = 0; n < calls; ++n)
        pair.call();
    if (pair.withheld_answers() != calls)
        throw std::runtime_error("not every call reached the upstream");
    return heap_bytes() - before;
}

double membership_message_time_us(std::size_t messages)
{
    constexpr std::size_t members = 1000;
    product_daemon_core core(core_settings{}, sample_identity(0), 1);
    core.handle(
        peer_message_received{
            sample_peer(1),
            member_list_reply{.members_ = sample_members(members)}},
        start_time);
    double const before = processor_microseconds();
    for (std::size_t n = 0; n < messages; ++n)
    {
        std::vector<member_record> updates;
        for (std::size_t k = 0; k < 4; ++k)
            updates.push_back(sample_member(2 + (n + k) % members, n + 2));
        core.handle(
            peer_message_received{
                sample_peer(1),
                membership_ping{.sequence_ = n + 1, .updates_ = updates}},
            start_time + absl::Milliseconds(n));
    }
    return processor_microseconds() - before;
}

message_codec sample_codec()
{
    return message_codec(peer_key("capacity"), sample_peer(0));
}

double call_wire_bytes(std::size_t body_size)
{
    payload const body(std::string(body_size, 'b'));
    execute_request const request{
        .exchange_ = exchange_id(1),
        .service_ = service_name("sensorvault"),
        .route_ = route_name("append"),
        .body_ = body,
        .ticket_ = execution_ticket{
            sample_identity(1).daemon_, incarnation(1), sample_endpoint(1)}};
    execute_reply const reply{.exchange_ = exchange_id(1), .body_ = body};
    message_codec const codec = sample_codec();
    // Each of the two messages is preceded by its length, which takes 4 bytes.
    return static_cast<double>(
        codec.encode(request).size() + codec.encode(reply).size() + 8);
}

double membership_message_bytes(std::size_t updates)
{
    return static_cast<double>(
        sample_codec()
            .encode(membership_ping{
                .sequence_ = 1, .updates_ = sample_members(updates)})
            .size());
}

double member_memory_bytes(std::size_t members)
{
    std::vector<member_record> const records = sample_members(members);
    double const before = heap_bytes();
    membership table(sample_identity(0), {}, random_source(1));
    table.merge(records, start_time);
    return heap_bytes() - before;
}

double status_page_time_us(std::size_t members)
{
    std::vector<member_record> const records = sample_members(members);
    double const before = processor_microseconds();
    format_status_page(records.front(), revision(1), records, 0);
    return processor_microseconds() - before;
}

double execution_record_memory_bytes(std::size_t records)
{
    double const before = heap_bytes();
    execution_registry registry(incarnation(1), {});
    ticket_epoch const epoch = registry.epoch(start_time);
    for (std::size_t n = 0; n < records; ++n)
        registry.accept(
            {sample_identity(0).daemon_,
             incarnation(1),
             sample_endpoint(0),
             epoch,
             {n + 1, n + 1}},
            start_time);
    return heap_bytes() - before;
}

double policy_section_memory_bytes(std::size_t services)
{
    double const before = heap_bytes();
    policy_index const index(
        std::make_shared<policy_document const>(sample_policy(services)));
    return heap_bytes() - before;
}

void measure_all()
{
    measure_slope(
        "entry_processor_time_per_call",
        "us",
        {2000, 4000, 8000},
        repeat_count,
        [](std::size_t n)
        { return call_processor_time_us(core_pair::entry, n); });
    measure_slope(
        "guard_processor_time_per_call",
        "us",
        {2000, 4000, 8000},
        repeat_count,
        [](std::size_t n)
        { return call_processor_time_us(core_pair::guard, n); });
    measure_slope(
        "processor_time_per_membership_message",
        "us",
        {5000, 10000, 20000},
        repeat_count,
        membership_message_time_us);
    measure_slope(
        "status_page_time_per_member",
        "us",
        {1700, 3400, 6800},
        repeat_count,
        status_page_time_us);
    measure_slope(
        "wire_bytes_per_body_byte",
        "bytes",
        {64, 1024, 16384},
        1,
        call_wire_bytes);
    measure_slope(
        "wire_bytes_per_member_update",
        "bytes",
        {1, 4, 8},
        1,
        membership_message_bytes);
    // Tables grow by doubling, so sizes that lie differently between two
    // growth steps would not fit a line; each size here is twice the one
    // before.
    measure_slope(
        "memory_per_member",
        "bytes",
        {1700, 3400, 6800},
        1,
        member_memory_bytes);
    measure_slope(
        "memory_per_call", "bytes", {1700, 3400, 6800}, 1, call_memory_bytes);
    measure_slope(
        "memory_per_execution_record",
        "bytes",
        {7000, 14000, 28000},
        1,
        execution_record_memory_bytes);
    measure_slope(
        "memory_per_policy_section",
        "bytes",
        {195, 390, 780},
        1,
        policy_section_memory_bytes);
    measure_slope(
        "platform_calls_per_watcher_minute",
        "calls",
        {2, 4, 8},
        1,
        [](std::size_t n)
        { return count_platform_calls(n, absl::Minutes(1)); });
}

} // namespace

} // namespace samphire::bench

int main()
{
    if (::sodium_init() < 0)
        return 1;
    try
    {
        samphire::bench::measure_all();
    }
    catch (std::exception const& failure)
    {
        fmt::print(stderr, "capacity-slopes: {}\n", failure.what());
        return 1;
    }
    return 0;
}
