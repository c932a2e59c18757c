#pragma once

#include "logging/quoted_value.hpp"

#include <fmt/format.h>

// Member functions of traffic_duty for events of other daemons.

namespace samphire
{

template <class Platform>
daemon_hello traffic_duty<Platform>::own_hello() const
{
    return {
        .daemon_ = identity_.peer_address_,
        .incarnation_ = identity_.incarnation_,
        .policy_version_ = entry_.policy_version(),
        .upstream_ = lifecycle_.record(),
        .is_stopping_ = stop_progress_.stopping()};
}

template <class Platform>
daemon_beacon traffic_duty<Platform>::own_beacon() const
{
    return {
        .policy_version_ = entry_.policy_version(),
        .load_ = guard_.load(clock_.now()),
        .is_stopping_ = stop_progress_.stopping()};
}

template <class Platform>
bool traffic_duty<Platform>::is_in_own_domain(endpoint daemon) const
{
    peer_state const* const peer = directory_.find(daemon);
    return peer && peer->record_.zone_ == identity_.zone_;
}

template <class Platform>
bool traffic_duty<Platform>::is_in_other_domain(endpoint daemon) const
{
    peer_state const* const peer = directory_.find(daemon);
    return peer && !peer->record_.zone_.empty() &&
           peer->record_.zone_ != identity_.zone_;
}

template <class Platform>
void traffic_duty<Platform>::on_hello(daemon_hello const& hello, bool dialled)
{
    absl::Time const now = clock_.now();
    endpoint const daemon = hello.daemon_;
    peer_state const* const known_state = directory_.find(daemon);
    // A daemon that has just started may not know its local upstream yet, or
    // not that the upstream is leaving, so this daemon sends the record of that
    // upstream.
    bool const knows_more = known_state && !known_state->record_.id_.empty() &&
                            (hello.upstream_.id_.empty() ||
                             directory_.contradicts_departure(hello.upstream_));
    if (!dialled && knows_more)
        mesh_.reply(hello.incarnation_, upstream_notice{known_state->record_});
    if (!hello.upstream_.id_.empty())
        directory_.update_from_daemon(hello.upstream_);
    mesh_.add_peer(daemon, now);
    policy_exchange_.on_peer_version(
        daemon, hello.policy_version_, is_in_own_domain(daemon), now);
    if (!dialled)
    {
        // The daemon repeats on each connection that it has lost the store.
        directory_.set_store_access(daemon, true);
        return;
    }
    if (!store_reachable_ && !is_in_other_domain(daemon))
        mesh_.send(daemon, store_access_notice{false});
    log("info",
        "peer_connected",
        fmt::format(
            "peer={} incarnation={}", daemon.text(), hello.incarnation_));
    received_peer_hello_ = true;
    entry_.on_peer_connected(daemon, hello.incarnation_, now);
    directory_.set_stopping(daemon, hello.is_stopping_);
}

template <class Platform>
void traffic_duty<Platform>::on_peer_message(
    endpoint daemon, relay_message& message)
{
    absl::Time const now = clock_.now();
    if (auto* const order = std::get_if<execute_order>(&message))
        order_intake_.add(std::move(*order));
    else if (auto const* const result = std::get_if<execute_result>(&message))
        entry_.on_result(daemon, *result, now);
    else if (auto const* const cancel = std::get_if<cancel_order>(&message))
    {
        order_intake_.withdraw(cancel->key_);
        guard_.on_cancel(*cancel, now);
    }
    else if (auto const* const query = std::get_if<execution_query>(&message))
    {
        order_intake_.withdraw(query->key_);
        guard_.on_query(*query, now);
    }
    else if (auto const* const beacon = std::get_if<daemon_beacon>(&message))
    {
        directory_.set_load_report(daemon, beacon->load_, now);
        directory_.set_stopping(daemon, beacon->is_stopping_);
        policy_exchange_.on_peer_version(
            daemon, beacon->policy_version_, is_in_own_domain(daemon), now);
    }
    else if (auto const* const notice = std::get_if<upstream_notice>(&message))
    {
        if (notice->upstream_.daemon_ == identity_.peer_address_)
        {
            if (lifecycle_.on_recovered_record(notice->upstream_, now))
                on_upstream_changed(record_source::peer, now);
        }
        else if (directory_.contradicts_departure(notice->upstream_))
            mesh_.send(
                daemon, upstream_notice{directory_.find(daemon)->record_});
        else
            directory_.update_from_daemon(notice->upstream_);
    }
    else if (auto const* const request = std::get_if<policy_request>(&message))
        send_policy(daemon, request->known_version_);
    else if (auto const* const policy = std::get_if<policy_notice>(&message))
    {
        metrics_.add("policy_documents_received_total");
        if (policy->version_ <= entry_.policy_version())
            return;
        std::string defect;
        auto decoded = Platform::policies::decode(policy->document_, defect);
        if (decoded)
            apply_policy(decoded, daemon.text());
        else
            log("warning", "policy_refused", "defect=" + quoted_value(defect));
    }
    else if (
        auto const* const access = std::get_if<store_access_notice>(&message))
    {
        log("info",
            "peer_store_access",
            fmt::format(
                "peer={} reaches_store={}",
                daemon.text(),
                access->reaches_store_ ? 1 : 0));
        directory_.set_store_access(daemon, access->reaches_store_);
    }
    else if (auto const* const crash = std::get_if<crash_notice>(&message))
        crashes_.on_crash(crash->fingerprint_, crash->crash_id_, now);
}

template <class Platform>
void traffic_duty<Platform>::send_policy(
    endpoint daemon, std::uint64_t known_version)
{
    if (known_version >= entry_.policy_version())
        return;
    metrics_.add("policy_documents_sent_total");
    mesh_.send(
        daemon,
        policy_notice{
            entry_.policy_version(), entry_.routes()->policy().document_});
}

template <class Platform>
void traffic_duty<Platform>::on_peer_disconnected(endpoint daemon)
{
    policy_exchange_.on_peer_lost(daemon);
    log("warning", "peer_lost", "peer=" + daemon.text());
    entry_.on_peer_lost(daemon, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_entry_disconnected(std::uint64_t incarnation)
{
    order_intake_.withdraw_entry(incarnation);
    guard_.on_entry_lost(incarnation, clock_.now());
}

} // namespace samphire
