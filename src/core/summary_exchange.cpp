#include "core/summary_exchange.hpp"

#include "membership/record_order.hpp"
#include "membership/summary_codec.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

namespace
{

constexpr absl::Duration duty_check_interval = absl::Seconds(1);

object_name domains_object()
{
    return object_name("domains");
}

/// Returns the records with suspected members marked alive. A suspicion ends
/// within seconds, and publishing each one would cause a write to the platform.
std::vector<member_record>
without_suspicions(std::vector<member_record> const& records)
{
    std::vector<member_record> result;
    for (member_record const& record : records)
        result.push_back(
            record.status_ == member_status::suspect
                ? with_status(record, member_status::alive)
                : record);
    return result;
}

} // namespace

summary_exchange::summary_exchange(
    core_context& context, membership& members, platform_operations& operations)
    : context_(context), members_(members), operations_(operations),
      local_summary_watch_(
          summary_object(context.self().domain_), operation_owner::summaries),
      local_summary_writer_(
          summary_object(context.self().domain_), operation_owner::summaries),
      domains_writer_(domains_object(), operation_owner::summaries),
      domains_watch_(domains_object(), operation_owner::summaries)
{
}

void summary_exchange::on(platform_replied const& reply, absl::Time now)
{
    operation_id const operation = reply.operation_;
    platform_result const& result = reply.result_;
    bool const has_content = result.status_ == platform_status::ok;
    if (local_summary_watch_.on_reply(operation, result, now))
    {
        if (has_content)
            merge_summary_of_local_domain(result.value_, now);
        return;
    }
    if (local_summary_writer_.on_reply(operation, result, now) ||
        domains_writer_.on_reply(operation, result, now))
        return;
    if (domains_watch_.on_reply(operation, result, now))
    {
        if (has_content)
            watch_listed_domains(result.value_);
        return;
    }
    for (auto& [domain, watched] : watched_summaries_)
    {
        if (!watched.watch_.on_reply(operation, result, now))
            continue;
        if (has_content)
            merge_watched_summary(domain, watched, result, now);
        return;
    }
}

void summary_exchange::tick(absl::Time now)
{
    local_summary_watch_.poll(operations_, false, now);
    if (now < next_duty_check_at_)
        return;
    next_duty_check_at_ = now + duty_check_interval;
    publishes_summary_ = members_.owns_duty(publish_duty);
    watches_summaries_ = members_.owns_duty(membership::watch_duty);
    if (publishes_summary_)
    {
        domains_writer_.poll(
            operations_,
            [&](payload const& current_content)
            { return domain_list_to_write(current_content); },
            now);
        local_summary_writer_.poll(
            operations_,
            [&](payload const& current_content)
            { return summary_to_write(current_content, now); },
            now);
    }
    if (!watches_summaries_)
        return;
    domains_watch_.poll(operations_, true, now);
    for (domain_name const& domain : members_.domains())
        watch_domain(domain);
    for (auto& [domain, watched] : watched_summaries_)
        watched.watch_.poll(operations_, true, now);
}

absl::Time summary_exchange::next_deadline() const
{
    return std::min(
        next_duty_check_at_, local_summary_watch_.next_deadline(false));
}

void summary_exchange::resume()
{
    local_summary_watch_.read_again();
}

std::optional<payload> summary_exchange::summary_to_write(
    payload const& current_content, absl::Time now)
{
    if (!(current_content == merged_local_content_))
        merge_summary_of_local_domain(current_content, now);
    std::vector<member_record> const records =
        without_suspicions(members_.records_of(context_.self().domain_));
    if (digest_of(records) == merged_local_digest_)
        return std::nullopt;
    payload value(format_summary(context_.self().domain_, records));
    if (value.size() <= max_value_bytes)
        return value;
    context_.log(
        log_level::error,
        "membership",
        "summary_too_long",
        {{"bytes", std::to_string(value.size())}});
    return std::nullopt;
}

std::optional<payload>
summary_exchange::domain_list_to_write(payload const& current_content)
{
    std::set<domain_name> domains{context_.self().domain_};
    if (current_content.size() > 0)
    {
        domain_list_result const parsed =
            parse_domains(current_content.bytes());
        if (!parsed)
        {
            log_refused_object(domains_object(), parsed.error());
            return std::nullopt;
        }
        if (parsed.value().contains(context_.self().domain_))
            return std::nullopt;
        domains.insert(parsed.value().begin(), parsed.value().end());
    }
    return payload(format_domains(domains));
}

void summary_exchange::merge_summary_of_local_domain(
    payload const& value, absl::Time now)
{
    domain_name const& local_domain = context_.self().domain_;
    merged_local_content_ = value;
    merged_local_digest_ = 0;
    if (value.size() == 0)
        return;
    summary_result const parsed = parse_summary(local_domain, value.bytes());
    if (!parsed)
    {
        log_refused_object(summary_object(local_domain), parsed.error());
        return;
    }
    members_.merge(parsed.value(), now);
    merged_local_digest_ = digest_of(parsed.value());
}

void summary_exchange::merge_watched_summary(
    domain_name const& domain,
    watched_summary& watched,
    platform_result const& result,
    absl::Time now)
{
    summary_result const parsed = parse_summary(domain, result.value_.bytes());
    if (!parsed)
    {
        log_refused_object(summary_object(domain), parsed.error());
        return;
    }
    if (result.version_ > watched.merged_version_)
    {
        watched.merged_version_ = result.version_;
        members_.merge_complete_list(domain, parsed.value(), now);
    }
    else
        members_.merge(parsed.value(), now);
}

void summary_exchange::watch_listed_domains(payload const& value)
{
    domain_list_result const parsed = parse_domains(value.bytes());
    if (!parsed)
    {
        log_refused_object(domains_object(), parsed.error());
        return;
    }
    for (domain_name const& domain : parsed.value())
        watch_domain(domain);
}

void summary_exchange::watch_domain(domain_name const& domain)
{
    if (domain != context_.self().domain_)
        watched_summaries_.try_emplace(domain, domain);
}

void summary_exchange::log_refused_object(
    object_name const& object, summary_error error)
{
    context_.log(
        log_level::error,
        "membership",
        "summary_refused",
        {{"object", object.value()}, {"rule", summary_error_text(error)}});
}

} // namespace samphire
