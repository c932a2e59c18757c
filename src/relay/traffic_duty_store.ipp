#pragma once

#include "logging/quoted_value.hpp"
#include "store/store_text.hpp"

#include <fmt/format.h>

#include <utility>

// Member functions of traffic_duty for the platform's store.

namespace samphire
{

template <class Platform>
void traffic_duty<Platform>::submit(
    std::uint64_t store_call_number, store_operation const& operation)
{
    metrics_.add("store_calls_total");
    store_calls_.insert_or_assign(
        store_call_number, pending_store_call{operation.action_, clock_.now()});
    store_.submit(store_call_number, operation);
}

template <class Platform>
void traffic_duty<Platform>::on_store_call_ended(
    store_call_completed const& call, absl::Time now)
{
    auto const node = store_calls_.extract(call.call_number_);
    if (node.empty())
        return;
    pending_store_call const& ended = node.mapped();
    store_status const status = call.outcome_.status_;
    bool const is_policy_call = ended.action_ == store_action::read_policy ||
                                ended.action_ == store_action::watch_policy;
    if (is_policy_call && status == store_status::done)
        policy_confirmed_at_ = now;
    bool const is_absent = status == store_status::missing &&
                           (ended.action_ == store_action::read_upstream ||
                            ended.action_ == store_action::check_access);
    if (status == store_status::done || is_absent)
        return;
    std::string_view const action = store_action_text(ended.action_);
    std::string_view const outcome = store_status_text(status);
    metrics_.add(fmt::format(
        "store_calls_failed_total{{action=\"{}\",status=\"{}\"}}",
        action,
        outcome));
    log("info",
        "store_call_failed",
        fmt::format(
            "action={} status={} after_ms={}",
            action,
            outcome,
            absl::ToInt64Milliseconds(now - ended.started_at_)));
}

template <class Platform>
void traffic_duty<Platform>::on_policy(
    std::shared_ptr<forwarding_policy const> const& policy)
{
    apply_policy(policy, "store");
}

template <class Platform>
void traffic_duty<Platform>::apply_policy(
    std::shared_ptr<forwarding_policy const> const& policy,
    std::string const& source)
{
    if (!entry_.apply_routes(std::make_shared<route_index const>(policy)))
        return;
    policy_exchange_.on_own_version(policy->version_);
    client_frontend_.set_limits(policy->client_limits_);
    log("info",
        "policy_in_force",
        fmt::format(
            "version={:x} routes={} source={}",
            policy->version_,
            policy->routes_.size(),
            source));
    mesh_.send_beacons();
}

template <class Platform>
void traffic_duty<Platform>::on_upstreams(
    std::vector<stored_upstream> const& upstreams)
{
    absl::Time const now = clock_.now();
    entry_check const entries(upstreams, now);
    report_defects(entries.rejected());
    stored_daemons_.clear();
    for (stored_upstream const& entry : entries.usable())
    {
        endpoint const daemon = entry.record_.daemon_;
        stored_daemons_.insert(daemon);
        if (daemon != identity_.peer_address_)
        {
            directory_.update_from_store(entry.record_, entry.revision_);
            // The directory is bounded, and with it the number of links.
            if (directory_.find(daemon))
                mesh_.add_peer(daemon, now);
        }
        else if (lifecycle_.on_recovered_record(entry.record_, now))
            on_upstream_changed(record_source::store, now);
    }
    if (store_session_.started_without_own_object())
        lifecycle_.on_no_earlier_process();
    if (store_session_.has_read_fresh_upstream_list() &&
        lifecycle_.on_record_recovery_complete(now))
        on_upstream_changed(record_source::heartbeat, now);
    remove_departed_object(entries.usable(), now);
}

template <class Platform>
void traffic_duty<Platform>::report_defects(
    std::vector<object_defect> const& defects)
{
    for (object_defect const& defect : defects)
    {
        if (!reported_defects_.is_new(defect))
            continue;
        metrics_.add("store_objects_skipped_total");
        log("warning",
            "object_passed_over",
            fmt::format(
                "name={} revision={} defect={}",
                quoted_value(defect.name_),
                defect.revision_,
                quoted_value(defect.text_)));
    }
}

template <class Platform>
void traffic_duty<Platform>::remove_departed_object(
    std::vector<stored_upstream> const& objects, absl::Time now)
{
    std::vector<daemon_reachability> reachabilities;
    for (endpoint const daemon : directory_.daemons())
    {
        if (daemon != identity_.peer_address_)
            reachabilities.push_back(
                {daemon, mesh_.unreachable_duration(daemon, now)});
    }
    auto const departed_object =
        departed_sweep(identity_.peer_address_, started_at_)
            .choose_object_to_remove(objects, reachabilities, now);
    if (!departed_object)
        return;
    log("info",
        "object_removed",
        fmt::format(
            "name={} revision={}",
            departed_object->name_,
            departed_object->revision_));
    store_session_.remove_object(*departed_object);
}

template <class Platform>
void traffic_duty<Platform>::elect_watcher(absl::Time now)
{
    if (now < started_at_ + election_delay)
        return;
    std::vector<watch_candidate> others;
    for (endpoint const daemon : directory_.daemons())
    {
        peer_state const& peer = *directory_.find(daemon);
        bool const passes_on = daemon != identity_.peer_address_ &&
                               peer.connected_ && !peer.is_stopping_ &&
                               !peer.is_silent(now);
        if (passes_on && is_in_own_domain(daemon))
            others.push_back({daemon, peer.reaches_store_});
    }
    bool const watches = watch_election::is_watcher(
        {identity_.peer_address_, store_reachable_}, others);
    store_session_.set_watching(watches, now);
    metrics_.set("policy_watched", watches ? 1 : 0);
}

template <class Platform>
void traffic_duty<Platform>::on_store_restored(std::uint64_t era)
{
    log("warning", "store_restored", fmt::format("era={}", era));
    metrics_.add("store_restores_total");
    directory_.forget_stored_revisions();
    reported_defects_ = {};
}

template <class Platform>
void traffic_duty<Platform>::on_store_reachable(bool reachable)
{
    if (std::exchange(store_reachable_, reachable) == reachable)
        return;
    log(reachable ? "info" : "warning",
        reachable ? "store_regained" : "store_lost",
        "");
    send_store_access_notices();
}

template <class Platform>
void traffic_duty<Platform>::send_store_access_notices()
{
    for (endpoint const daemon : directory_.daemons())
    {
        if (daemon != identity_.peer_address_ && !is_in_other_domain(daemon))
            mesh_.send(daemon, store_access_notice{store_reachable_});
    }
}

} // namespace samphire
