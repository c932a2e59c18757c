#include "relay/relay_log.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <iterator>

namespace samphire
{

namespace
{

std::string head(std::string_view level, std::string_view event, absl::Time now)
{
    return fmt::format(
        "at_ms={} level={} channel=relay event={}",
        absl::ToUnixMillis(now),
        level,
        event);
}

void add(std::string& line, std::string_view key, std::string_view value)
{
    if (!value.empty())
        fmt::format_to(std::back_inserter(line), " {}={}", key, value);
}

void add(std::string& line, std::string_view key, std::int64_t value)
{
    if (value >= 0)
        fmt::format_to(std::back_inserter(line), " {}={}", key, value);
}

} // namespace

void relay_log::note(decision_note const& note, absl::Time now)
{
    std::uint64_t omitted = 0;
    bool const success = note.event_ == "request_answered";
    event_budget& budget = success ? success_budget_ : budget_;
    if (!budget.take(note.event_, now, omitted))
        return;
    std::string line = head(success ? "info" : "warning", note.event_, now);
    add(line, "attempt", note.attempt_);
    add(line, "reason", verdict_reason_text(note.reason_));
    add(line, "service", note.service_);
    add(line, "route", note.route_);
    add(line, "peer", note.peer_);
    if (note.policy_version_ > 0)
        add(line, "policy", fmt::format("{:x}", note.policy_version_));
    add(line, "exchange", static_cast<std::int64_t>(note.exchange_));
    add(line, "status", note.status_);
    add(line, "tries", note.tries_);
    add(line, "running", note.running_);
    add(line, "queued", note.queued_);
    add(line, "slots", note.slots_);
    add(line, "left_ms", note.left_ms_);
    add(line, "wait_ms", note.wait_ms_);
    add(line, "report_age_ms", note.report_age_ms_);
    add(line, "pressure_permille", note.pressure_permille_);
    if (omitted > 0)
        add(line, "omitted", static_cast<std::int64_t>(omitted));
    writer_.write(std::move(line));
}

void relay_log::event(
    std::string_view level,
    std::string_view name,
    std::string const& fields,
    absl::Time now)
{
    std::uint64_t omitted = 0;
    if (!budget_.take(name, now, omitted))
        return;
    std::string line = head(level, name, now);
    if (!fields.empty())
        line += " " + fields;
    if (omitted > 0)
        add(line, "omitted", static_cast<std::int64_t>(omitted));
    writer_.write(std::move(line));
}

} // namespace samphire
