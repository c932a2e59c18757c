#pragma once

#include "config/section_exchange.hpp"
#include "policy/policy_codec.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

template <policies Policies>
configuration<Policies>::configuration(
    core_context& context, membership& members, platform_operations& operations)
    : context_(context), members_(members), operations_(operations),
      index_(std::make_shared<policy_document const>()),
      policy_watch_(object_name("policy"), operation_owner::configuration)
{
}

template <policies Policies>
bool configuration<Policies>::offer(
    std::shared_ptr<policy_document const> document, absl::Time)
{
    revision const previous = index_.document().revision_;
    if (!revision_.accepts(previous, document->revision_))
        return false;
    index_ = policy_index(std::move(document));
    revision const in_force = index_.document().revision_;
    members_.set_policy_revision(in_force);
    context_.log(
        log_level::info,
        "config",
        "policy_in_force",
        {{"revision", std::to_string(in_force.value())},
         {"before", std::to_string(previous.value())}});
    if (revision_read_finished())
        report_ready();
    return true;
}

template <policies Policies>
void configuration<Policies>::on(platform_replied const& reply, absl::Time now)
{
    bool const awaited =
        policy_watch_.on_reply(reply.operation_, reply.result_, now);
    // The document in a late reply is offered too; Policies::revision rejects a
    // document with an old revision.
    if (reply.result_.status_ == platform_status::ok)
        offer_policy_text(reply.result_.value_.bytes(), "platform", now);
    if (awaited && policy_watch_.has_read_object())
        initial_read_.on_platform_answered();
}

template <policies Policies>
void configuration<Policies>::on(
    peer_identity const& from, section_request const& request, absl::Time)
{
    context_.emit(send_to_peer{
        from.endpoint_, make_section_reply(index_.document(), request)});
}

template <policies Policies>
void configuration<Policies>::on(
    peer_identity const& from, section_reply const& reply, absl::Time now)
{
    initial_read_.on_peer_answered();
    policy_fetch_.finish(from.endpoint_);
    if (reply.base_document_.size() == 0)
    {
        if (reply.revision_ <= index_.document().revision_)
            members_.forget_revision_reporter(from.endpoint_);
        return;
    }
    auto const text = assemble_document(index_.document(), reply);
    if (text)
    {
        fetch_all_sections_ = false;
        offer_policy_text(*text, from.endpoint_.text(), now);
        if (index_.document().revision_ < reply.revision_)
            policy_fetch_.on_document_refused(now);
        return;
    }
    // The document in force has changed since the section_request was sent, so
    // it lacks sections that the reply leaves out. If the previous reply could
    // not be joined either, the reply is treated as refused.
    if (std::exchange(fetch_all_sections_, true))
        policy_fetch_.on_document_refused(now);
}

template <policies Policies>
void configuration<Policies>::on(peer_unreachable const& event, absl::Time)
{
    if (policy_fetch_.peer() != event.peer_)
        return;
    policy_fetch_.finish(event.peer_);
    members_.forget_revision_reporter(event.peer_);
}

template <policies Policies>
void configuration<Policies>::tick(absl::Time now)
{
    last_tick_at_ = now;
    if (!std::exchange(initial_read_started_, true))
        initial_read_.start(context_.settings().initial_read_timeout_, now);
    if (now >= next_duty_check_at_)
    {
        next_duty_check_at_ = now + absl::Seconds(1);
        watches_platform_ = members_.owns_duty(watch_duty);
    }
    policy_watch_.poll(operations_, watches_platform_, now);
    if (initial_read_.try_begin_peer_query(now))
    {
        for (endpoint const& peer : members_.random_peers(2))
            context_.emit(
                send_to_peer{peer, make_section_request(index_.document())});
    }
    fetch_newer_policy(now);
    bool const newer_known =
        members_.newer_revision_reporter(index_.document().revision_)
            .has_value();
    bool const has_peers =
        !initial_read_.is_done() && !members_.random_peers(1).empty();
    if (initial_read_.try_finish(has_peers, newer_known, now))
        report_ready();
}

template <policies Policies>
absl::Time configuration<Policies>::next_deadline() const
{
    return std::min(
        {next_duty_check_at_,
         policy_watch_.next_deadline(watches_platform_),
         initial_read_.next_deadline(last_tick_at_),
         policy_fetch_.next_deadline()});
}

template <policies Policies>
void configuration<Policies>::resume(absl::Time now)
{
    policy_watch_.read_again();
    initial_read_.start(resume_read_timeout, now);
}

template <policies Policies>
void configuration<Policies>::stop()
{
    readiness_reports_stopped_ = true;
}

template <policies Policies>
void configuration<Policies>::offer_policy_text(
    std::string_view text, std::string source, absl::Time now)
{
    policy_parse_result const parsed = parse_policy(text);
    if (!parsed)
    {
        log_refused_policy(source, parsed.error());
        return;
    }
    auto document = std::make_shared<policy_document const>(parsed.value());
    revision const offered_revision = document->revision_;
    revision const in_force = index_.document().revision_;
    if (!offer(std::move(document), now) && offered_revision != in_force)
        context_.log(
            log_level::warning,
            "config",
            "policy_revision_ignored",
            {{"source", std::move(source)},
             {"revision", std::to_string(offered_revision.value())},
             {"in_force", std::to_string(in_force.value())}});
}

template <policies Policies>
void configuration<Policies>::fetch_newer_policy(absl::Time now)
{
    if (auto const silent_peer = policy_fetch_.cancel_if_timed_out(now))
        members_.forget_revision_reporter(*silent_peer);
    auto const revision_holder =
        members_.newer_revision_reporter(index_.document().revision_);
    if (!revision_holder || !policy_fetch_.may_start(now))
        return;
    policy_fetch_.start(*revision_holder, now);
    context_.emit(send_to_peer{
        *revision_holder,
        fetch_all_sections_ ? section_request{index_.document().revision_, {}}
                            : make_section_request(index_.document())});
}

template <policies Policies>
void configuration<Policies>::report_ready()
{
    if (readiness_reports_stopped_)
        return;
    revision const in_force = index_.document().revision_;
    if (in_force.empty())
        context_.log(
            log_level::warning, "config", "policy_defaults_in_force", {});
    context_.emit(readiness_changed{
        true,
        in_force.empty() ? "policy=defaults"
                         : "policy=" + std::to_string(in_force.value())});
}

template <policies Policies>
void configuration<Policies>::log_refused_policy(
    std::string const& source, std::vector<policy_error> const& errors)
{
    // Maximum number of errors in one log line, which limits the length of the
    // line; the first errors show the cause.
    constexpr std::size_t max_logged_errors = 8;
    std::vector<log_field> fields{
        {"source", source}, {"errors", std::to_string(errors.size())}};
    for (std::size_t i = 0; i < std::min(max_logged_errors, errors.size()); ++i)
        fields.push_back(
            {"error" + std::to_string(i + 1),
             errors[i].field_ + " " + errors[i].rule_});
    context_.log(
        log_level::error, "config", "policy_refused", std::move(fields));
}

} // namespace samphire
