#include "ctl/request_timeline.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace samphire
{

namespace
{

struct reason_explanation
{
    std::string_view reason_;
    std::string_view explanation_;
};

constexpr std::array reason_explanations{
    reason_explanation{
        "overloaded",
        "a service that it needs had no free capacity; it was not run"},
    reason_explanation{
        "expired", "too little time was left to run it; it was not run"},
    reason_explanation{
        "no_policy", "the daemon had no policy yet; it was not run"},
    reason_explanation{
        "no_route", "no route of the policy in force matches it"},
    reason_explanation{
        "no_upstream",
        "no upstream of the service could be reached; it was not run"},
    reason_explanation{
        "upstream_leaving", "the upstream was leaving; it was not run"},
    reason_explanation{
        "daemon_stopping", "the daemon was stopping; it was not run"},
    reason_explanation{
        "wrong_service", "the VM served another service; it was not run"},
    reason_explanation{
        "rejected", "the upstream refused it without running it"},
    reason_explanation{
        "connection_lost",
        "the connection to the upstream was lost before its answer; it may "
        "have run"},
    reason_explanation{
        "guard_lost",
        "the connection to the guard was lost before the result arrived; it "
        "may "
        "have run"},
    reason_explanation{
        "garbled", "the upstream's answer was invalid; it has run"},
    reason_explanation{
        "upstream_timeout",
        "the upstream had not answered at the deadline; it may have run"},
    reason_explanation{
        "crash_suspect",
        "it was in progress at several crashes of upstreams and is refused"},
    reason_explanation{"client_left", "the client closed its connection"}};

std::string_view explanation_of(std::string_view reason)
{
    auto const found = std::find_if(
        reason_explanations.begin(),
        reason_explanations.end(),
        [&](reason_explanation const& entry)
        { return entry.reason_ == reason; });
    return found == reason_explanations.end() ? std::string_view()
                                              : found->explanation_;
}

/// Whether the record may explain why a request lost its connection.
bool is_connection_loss(log_record const& record)
{
    std::string_view const event = record.field("event");
    return event == "peer_lost" || event == "upstream_down" ||
           event == "store_lost" || event == "stopping";
}

std::string format_record(log_record const& record)
{
    std::string line = fmt::format("{} {}", record.at_ms_, record.source_);
    for (auto const& [name, value] : record.fields_)
    {
        if (name != "at_ms" && name != "level" && name != "channel")
            line += fmt::format(" {}={}", name, value);
    }
    return line + "\n";
}

} // namespace

void request_timeline::add_log(std::string_view text, std::string_view file)
{
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size());
        auto record = parse_log_line(text.substr(0, end), file);
        if (record &&
            (belongs_to_attempt(*record) || is_connection_loss(*record)))
            records_.push_back(std::move(*record));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

bool request_timeline::belongs_to_attempt(log_record const& record) const
{
    std::string_view const id = record.field("attempt");
    // Upstreams of the users' platform give a call the id PARENT.CHILD, where
    // PARENT is the attempt for which they make it.
    return id == attempt_ ||
           (id.starts_with(attempt_) && id.substr(attempt_.size())[0] == '.');
}

std::string request_timeline::format_cause(
    std::vector<log_record const*> const& attempt_records) const
{
    log_record const* final_record = nullptr;
    log_record const* failed_call = nullptr;
    for (log_record const* const record : attempt_records)
    {
        std::string_view const event = record->field("event");
        bool const is_root = record->field("attempt") == attempt_;
        if (is_root &&
            (event.starts_with("request_") || event == "client_left"))
            final_record = record;
        if (!is_root && !explanation_of(record->field("reason")).empty())
            failed_call = record;
    }
    std::string result;
    if (final_record)
        result += fmt::format(
            "cause: {} status={} reason={}: {}\n",
            final_record->field("event"),
            final_record->field("status"),
            final_record->field("reason"),
            explanation_of(final_record->field("reason")).empty()
                ? "the upstream's own answer"
                : explanation_of(final_record->field("reason")));
    if (failed_call)
        result += fmt::format(
            "call: {} to service={} reason={}: {}\n",
            failed_call->field("attempt"),
            failed_call->field("service"),
            failed_call->field("reason"),
            explanation_of(failed_call->field("reason")));
    return result;
}

std::string request_timeline::text() const
{
    // A lost connection is shown when the same source logged it within this
    // time of a line of the attempt. Times of different sources are not
    // compared, because the clocks of VMs differ.
    constexpr std::int64_t max_distance_ms = 2000;
    std::vector<log_record const*> attempt_records;
    for (log_record const& record : records_)
    {
        if (belongs_to_attempt(record))
            attempt_records.push_back(&record);
    }
    if (attempt_records.empty())
        return {};
    std::vector<log_record const*> shown_records = attempt_records;
    for (log_record const& record : records_)
    {
        bool const is_near = std::any_of(
            attempt_records.begin(),
            attempt_records.end(),
            [&](log_record const* attempt_record)
            {
                return attempt_record->source_ == record.source_ &&
                       std::abs(attempt_record->at_ms_ - record.at_ms_) <=
                           max_distance_ms;
            });
        if (is_connection_loss(record) && is_near)
            shown_records.push_back(&record);
    }
    std::stable_sort(
        shown_records.begin(),
        shown_records.end(),
        [](log_record const* left, log_record const* right)
        { return left->at_ms_ < right->at_ms_; });
    std::string result;
    for (log_record const* const record : shown_records)
        result += format_record(*record);
    return result + format_cause(attempt_records);
}

} // namespace samphire
