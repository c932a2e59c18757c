#include "relay/relay_log.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <iterator>

namespace samphire
{

namespace
{

std::string
line_prefix(std::string_view level, std::string_view event, absl::Time now)
{
    return fmt::format(
        "at_ms={} level={} channel=relay event={}",
        absl::ToUnixMillis(now),
        level,
        event);
}

void append_field(
    std::string& line, std::string_view key, std::string_view value)
{
    if (!value.empty())
        fmt::format_to(std::back_inserter(line), " {}={}", key, value);
}

void append_field(std::string& line, std::string_view key, std::int64_t value)
{
    if (value >= 0)
        fmt::format_to(std::back_inserter(line), " {}={}", key, value);
}

} // namespace

void relay_log::log_decision(decision_note const& note, absl::Time now)
{
    std::uint64_t omitted_count = 0;
    bool const success = note.event_ == "request_answered";
    event_rate_limiter& limiter =
        success ? success_rate_limiter_ : rate_limiter_;
    if (!limiter.try_acquire(note.event_, now, omitted_count))
        return;
    std::string line =
        line_prefix(success ? "info" : "warning", note.event_, now);
    append_field(line, "attempt", note.attempt_);
    append_field(line, "reason", verdict_reason_text(note.reason_));
    append_field(line, "service", note.service_);
    append_field(line, "route", note.route_);
    append_field(line, "peer", note.peer_);
    if (note.policy_version_ > 0)
        append_field(line, "policy", fmt::format("{:x}", note.policy_version_));
    append_field(line, "exchange", static_cast<std::int64_t>(note.exchange_));
    append_field(line, "status", note.status_);
    append_field(line, "tries", note.tries_);
    append_field(line, "running", note.running_);
    append_field(line, "queued", note.queued_);
    append_field(line, "slots", note.slots_);
    append_field(line, "left_ms", note.left_ms_);
    append_field(line, "wait_ms", note.wait_ms_);
    append_field(line, "report_age_ms", note.report_age_ms_);
    append_field(line, "pressure_permille", note.pressure_permille_);
    if (omitted_count > 0)
        append_field(line, "omitted", static_cast<std::int64_t>(omitted_count));
    writer_.write(std::move(line));
}

void relay_log::log_event(
    std::string_view level,
    std::string_view name,
    std::string const& fields,
    absl::Time now)
{
    std::uint64_t omitted_count = 0;
    if (!rate_limiter_.try_acquire(name, now, omitted_count))
        return;
    std::string line = line_prefix(level, name, now);
    if (!fields.empty())
        line += " " + fields;
    if (omitted_count > 0)
        append_field(line, "omitted", static_cast<std::int64_t>(omitted_count));
    writer_.write(std::move(line));
}

} // namespace samphire
