#pragma once

#include "base/hashing.hpp"

#include <absl/strings/str_cat.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

namespace samphire
{

namespace traffic_settings
{

// Crashes after which a request is refused.
constexpr std::size_t crash_threshold = 3;
// Part of the allowed slack that all daemons together may save up.
constexpr double saved_slack = 0.6;
// Daemons that share it until their number is known.
constexpr std::size_t expected_daemons = 32;
constexpr double per_kilosecond = 1000;

} // namespace traffic_settings

template <class Platform>
traffic_duty<Platform>::traffic_duty(
    traffic_identity identity,
    traffic_limits limits,
    std::vector<endpoint> seeds,
    relay_codec codec,
    std::uint64_t seed,
    monotonic_clock const& clock,
    store_gateway<typename Platform::object_store>& store,
    relay_events& events,
    log_writer& log)
    : identity_(std::move(identity)), limits_(limits), clock_(clock),
      store_(store), events_(events), counters_(metrics_),
      log_(log, limits.log_lines_), random_(seed), directory_(limits.daemons_),
      crashes_(traffic_settings::crash_threshold),
      lifecycle_(
          identity_.peer_address_,
          identity_.upstream_address_,
          identity_.zone_),
      guard_({}, *this),
      entry_(
          {},
          identity_.incarnation_,
          identity_.service_,
          identity_.zone_,
          directory_,
          retry_allowance(
              limits.repeat_ratio_,
              limits.repeat_slack_ * traffic_settings::saved_slack /
                  traffic_settings::expected_daemons,
              limits.repeat_window_),
          crashes_,
          least_wait_placement(),
          random_,
          *this),
      session_(
          {},
          absl::StrCat(
              identity_.peer_address_.address(),
              "-",
              identity_.peer_address_.port()),
          random_,
          *this),
      stop_(limits.stop_grace_),
      pool_(identity_.upstream_address_, clock, loop_, *this),
      mesh_(identity_.peer_address_, {}, codec, clock, loop_, *this),
      clients_(
          identity_.client_address_,
          {.connections_ = limits.connections_,
           .held_bytes_ = limits.held_bytes_},
          last_token_,
          clock,
          loop_,
          *this),
      ready_(
          identity_.ready_address_, last_token_, clock, loop_, metrics_, *this),
      control_(
          identity_.control_address_,
          last_token_,
          clock,
          loop_,
          metrics_,
          *this)
{
    if (!identity_.metrics_address_.empty())
        metrics_front_ = std::make_unique<
            control_front<typename Platform::heartbeats, traffic_duty>>(
            identity_.metrics_address_,
            last_token_,
            clock,
            loop_,
            metrics_,
            *this);
    loop_.add(
        events_.wake().descriptor(),
        EPOLLIN,
        [this](std::uint32_t)
        {
            events_.wake().clear();
            take_events(clock_.now());
        });
    started_at_ = clock_.now();
    directory_.learn_live(lifecycle_.record());
    directory_.connected(identity_.peer_address_, identity_.incarnation_);
    for (endpoint const seed_address : seeds)
    {
        endpoint const peer(
            seed_address.address(), identity_.peer_address_.port());
        if (peer != identity_.peer_address_)
            mesh_.want(peer, started_at_);
    }
}

template <class Platform>
void traffic_duty<Platform>::run()
{
    absl::Time now = clock_.now();
    log("info",
        "started",
        fmt::format(
            "daemon={} domain={} service={} peer={} incarnation={}",
            identity_.daemon_,
            identity_.zone_,
            identity_.service_.value(),
            identity_.peer_address_.text(),
            identity_.incarnation_));
    session_.start(now);
    session_.set_own(lifecycle_.record(), now);
    while (!stop_.finished(entry_.unanswered() + guard_.unanswered(), now))
    {
        deliver_own(now);
        loop_.run_once(wait_time(clock_.now()));
        now = clock_.now();
        deliver_own(now);
        tick(now);
    }
    deliver_own(now);
    log("info",
        "stopped",
        fmt::format(
            "unanswered={}", entry_.unanswered() + guard_.unanswered()));
}

template <class Platform>
absl::Duration traffic_duty<Platform>::wait_time(absl::Time now) const
{
    if (!own_messages_.empty())
        return absl::ZeroDuration();
    absl::Time const next = std::min(
        {guard_.next_deadline(),
         entry_.next_deadline(),
         session_.next_deadline(),
         next_slow_tick_});
    absl::Duration const longest =
        stop_.stopping() ? tick_interval : slow_tick_interval;
    return std::clamp(next - now, absl::ZeroDuration(), longest);
}

template <class Platform>
void traffic_duty<Platform>::tick(absl::Time now)
{
    guard_.tick(now);
    entry_.tick(now);
    session_.tick(now);
    if (!stop_.takes_requests(now))
    {
        entry_.stop();
        guard_.stop(now);
    }
    if (next_slow_tick_ <= now)
    {
        next_slow_tick_ = now + slow_tick_interval;
        slow_tick(now);
    }
}

template <class Platform>
void traffic_duty<Platform>::slow_tick(absl::Time now)
{
    mesh_.tick(now);
    clients_.tick(now);
    ready_.tick(now);
    control_.tick(now);
    if (metrics_front_)
        metrics_front_->tick(now);
    pool_.tick(now);
    bool const memory_over = now >= started_at_ + memory_time;
    if (!lifecycle_.memory_complete() &&
        (session_.listed() || peer_answered_ || memory_over) &&
        lifecycle_.on_memory_complete(now))
        on_upstream_changed(now);
    for (endpoint const daemon : directory_.daemons())
    {
        if (daemon == identity_.peer_address_)
            continue;
        mesh_.want(daemon, now);
        if (!stored_daemons_.contains(daemon) &&
            mesh_.unreached(daemon, now) > forget_after)
        {
            mesh_.forget(daemon);
            directory_.forget(daemon);
            log("info", "daemon_forgotten", "peer=" + daemon.text());
        }
    }
    entry_.set_repeat_burst(
        limits_.repeat_slack_ * traffic_settings::saved_slack /
        static_cast<double>(std::max<std::size_t>(directory_.size(), 1)));
    load_report const load = guard_.load(now);
    std::uint32_t const pressure =
        directory_.pressure(identity_.service_).level_permille_;
    if (pressure > 0 || load.queued_ > 0)
        log("info",
            "service_pressed",
            fmt::format(
                "running={} queued={} slots={} run_time_us={} room_per_ks={} "
                "demand_per_ks={} pressure_permille={}",
                load.running_,
                load.queued_,
                load.slots_,
                load.service_time_us_,
                load.room_per_ks_,
                fmt::join(load.demand_per_ks_, ","),
                pressure));
    metrics_.set("running", load.running_);
    metrics_.set("queued", load.queued_);
    metrics_.set("slots", load.slots_);
    metrics_.set("pressure_permille", pressure);
    metrics_.set(
        "room_per_second",
        load.room_per_ks_ / traffic_settings::per_kilosecond);
    metrics_.set(
        "run_time_seconds",
        absl::ToDoubleSeconds(absl::Microseconds(load.service_time_us_)));
    metrics_.set("peers_connected", static_cast<double>(mesh_.connected()));
    metrics_.set(
        "client_connections", static_cast<double>(clients_.connections()));
    metrics_.set(
        "upstream_connections_opened", static_cast<double>(pool_.opened()));
    metrics_.set(
        "policy_version", static_cast<double>(entry_.policy_version()));
}

template <class Platform>
void traffic_duty<Platform>::take_events(absl::Time now)
{
    while (auto event = events_.pop())
    {
        if (auto const* const replied = std::get_if<store_replied>(&*event))
        {
            for (std::string const& defect : replied->outcome_.defects_)
                log("warning",
                    "object_passed_over",
                    "defect=\"" + defect + "\"");
            session_.on_outcome(replied->number_, replied->outcome_, now);
        }
        else if (std::holds_alternative<stop_requested>(*event))
            begin_stop(now);
        else if (
            auto const* const changed = std::get_if<settings_changed>(&*event))
        {
            log("info",
                "settings_reloaded",
                "service=" + changed->service_.value());
            entry_.set_caller_service(changed->service_);
        }
    }
}

template <class Platform>
void traffic_duty<Platform>::begin_stop(absl::Time now)
{
    if (stop_.stopping())
        return;
    log("info",
        "stopping",
        fmt::format(
            "entry={} guard={}", entry_.unanswered(), guard_.unanswered()));
    stop_.begin(now);
    directory_.stopping(identity_.peer_address_, true);
    clients_.close_after_answers();
    mesh_.send_beacons();
}

template <class Platform>
void traffic_duty<Platform>::deliver_own(absl::Time now)
{
    while (!own_messages_.empty())
    {
        relay_message message = std::move(own_messages_.front());
        own_messages_.pop_front();
        on_peer_message(identity_.peer_address_, message);
    }
    static_cast<void>(now);
}

template <class Platform>
void traffic_duty<Platform>::on_front_request(
    client_token token,
    boost::beast::http::request<boost::beast::http::string_body>& message,
    absl::Time received)
{
    auto request = codec::decode_request(message);
    if (!request)
    {
        log("warning", "request_without_id", "");
        clients_.answer(token, {.status_ = 400, .close_ = true});
        return;
    }
    request->token_ = token;
    request->received_ = received;
    directory_.load(
        identity_.peer_address_, guard_.load(clock_.now()), clock_.now());
    entry_.on_request(std::move(*request), clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_front_gone(client_token token)
{
    entry_.on_client_gone(token, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_answer(
    execution_key key, upstream_answer const& answer)
{
    guard_.on_answer(key, answer, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_failure(
    execution_key key, std::uint64_t fingerprint, upstream_failure failure)
{
    absl::Time const now = clock_.now();
    if (failure == upstream_failure::connection_lost)
        crashes_.on_lost(fingerprint, now);
    else if (failure == upstream_failure::refused)
        on_crash(now);
    guard_.on_failure(key, failure, now);
}

template <class Platform>
void traffic_duty<Platform>::on_crash(absl::Time now)
{
    std::vector<std::uint64_t> const suspects = crashes_.on_upstream_down(now);
    if (suspects.empty())
        return;
    log("warning",
        "upstream_down",
        fmt::format(
            "upstream={} suspects={}",
            lifecycle_.record().id_.value(),
            suspects.size()));
    std::uint64_t const crash = stable_hash(
        lifecycle_.record().id_.value(),
        static_cast<std::uint64_t>(absl::ToUnixNanos(now)));
    for (std::uint64_t const fingerprint : suspects)
    {
        crashes_.on_crash(fingerprint, crash, now);
        mesh_.broadcast(crash_notice{fingerprint, crash});
    }
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_probe(bool reached)
{
    if (!reached)
        on_crash(clock_.now());
    guard_.on_probe(reached, clock_.now());
}

template <class Platform>
bool traffic_duty<Platform>::is_ready() const
{
    return entry_.routes() && !stop_.stopping();
}

template <class Platform>
void traffic_duty<Platform>::on_heartbeat(upstream_heartbeat const& heartbeat)
{
    absl::Time const now = clock_.now();
    if (lifecycle_.on_heartbeat(heartbeat, now))
        on_upstream_changed(now);
}

template <class Platform>
void traffic_duty<Platform>::on_bad_heartbeat(
    upstream_id const& id, std::string const& defect)
{
    log("warning",
        "heartbeat_refused",
        fmt::format("upstream={} defect=\"{}\"", id.value(), defect));
}

template <class Platform>
void traffic_duty<Platform>::on_removal(upstream_id const& id)
{
    absl::Time const now = clock_.now();
    if (lifecycle_.on_removal(id, now))
        on_upstream_changed(now);
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_changed(absl::Time now)
{
    upstream_record const& record = lifecycle_.record();
    log("info",
        "upstream_changed",
        fmt::format(
            "upstream={} born={} service={} slots={} phase={}",
            record.id_.value(),
            record.born_,
            record.service_.value(),
            record.slots_,
            static_cast<int>(record.phase_)));
    guard_.set_upstream(record, now);
    directory_.learn_live(record);
    session_.set_own(record, now);
    mesh_.broadcast(upstream_notice{record});
    mesh_.send_beacons();
}

template <class Platform>
daemon_hello traffic_duty<Platform>::own_hello() const
{
    return {
        .daemon_ = identity_.peer_address_,
        .incarnation_ = identity_.incarnation_,
        .policy_version_ = entry_.policy_version(),
        .upstream_ = lifecycle_.record(),
        .stopping_ = stop_.stopping()};
}

template <class Platform>
daemon_beacon traffic_duty<Platform>::own_beacon() const
{
    return {
        .policy_version_ = entry_.policy_version(),
        .load_ = guard_.load(clock_.now()),
        .stopping_ = stop_.stopping()};
}

template <class Platform>
void traffic_duty<Platform>::on_hello(daemon_hello const& hello, bool dialled)
{
    absl::Time const now = clock_.now();
    endpoint const daemon = hello.daemon_;
    peer_state const* const known = directory_.find(daemon);
    // What this daemon remembers of the other's upstream may be more than an
    // other that has just started knows itself.
    if (!dialled && known && hello.upstream_.id_.empty() &&
        !known->record_.id_.empty())
        mesh_.reply(hello.incarnation_, upstream_notice{known->record_});
    if (!hello.upstream_.id_.empty())
        directory_.learn_live(hello.upstream_);
    mesh_.want(daemon, now);
    if (hello.policy_version_ < entry_.policy_version())
    {
        policy_notice const notice{
            entry_.policy_version(), entry_.routes()->policy().document_};
        if (dialled)
            mesh_.send(daemon, notice);
        else
            mesh_.reply(hello.incarnation_, notice);
    }
    if (!dialled)
        return;
    log("info",
        "peer_connected",
        fmt::format(
            "peer={} incarnation={}", daemon.text(), hello.incarnation_));
    peer_answered_ = true;
    entry_.on_peer_connected(daemon, hello.incarnation_, now);
    directory_.stopping(daemon, hello.stopping_);
}

template <class Platform>
void traffic_duty<Platform>::on_peer_message(
    endpoint daemon, relay_message& message)
{
    absl::Time const now = clock_.now();
    if (auto* const order = std::get_if<execute_order>(&message))
        guard_.on_order(std::move(*order), now);
    else if (auto const* const result = std::get_if<execute_result>(&message))
        entry_.on_result(daemon, *result, now);
    else if (auto const* const cancel = std::get_if<cancel_order>(&message))
        guard_.on_cancel(*cancel, now);
    else if (auto const* const query = std::get_if<execution_query>(&message))
        guard_.on_query(*query, now);
    else if (auto const* const beacon = std::get_if<daemon_beacon>(&message))
    {
        directory_.load(daemon, beacon->load_, now);
        directory_.stopping(daemon, beacon->stopping_);
        if (beacon->policy_version_ < entry_.policy_version())
            mesh_.send(
                daemon,
                policy_notice{
                    entry_.policy_version(),
                    entry_.routes()->policy().document_});
    }
    else if (auto const* const notice = std::get_if<upstream_notice>(&message))
    {
        if (notice->upstream_.daemon_ == identity_.peer_address_)
        {
            if (lifecycle_.on_remembered(notice->upstream_, now))
                on_upstream_changed(now);
        }
        else
            directory_.learn_live(notice->upstream_);
    }
    else if (auto const* const policy = std::get_if<policy_notice>(&message))
    {
        if (policy->version_ <= entry_.policy_version())
            return;
        std::string defect;
        auto decoded = Platform::policies::decode(policy->document_, defect);
        if (decoded)
            on_policy(decoded);
        else
            log("warning", "policy_refused", "defect=\"" + defect + "\"");
    }
    else if (auto const* const crash = std::get_if<crash_notice>(&message))
        crashes_.on_crash(crash->fingerprint_, crash->crash_, now);
}

template <class Platform>
void traffic_duty<Platform>::on_peer_down(endpoint daemon)
{
    log("warning", "peer_lost", "peer=" + daemon.text());
    entry_.on_peer_lost(daemon, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_entry_down(std::uint64_t incarnation)
{
    guard_.on_entry_lost(incarnation, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::start(
    execute_order const& order,
    upstream_record const& upstream,
    absl::Duration left)
{
    pool_.start(order, upstream, left);
}

template <class Platform>
void traffic_duty<Platform>::abort(execution_key key)
{
    pool_.abort(key);
}

template <class Platform>
bool traffic_duty<Platform>::reply(execute_result const& result)
{
    if (result.key_.incarnation_ != identity_.incarnation_)
        return mesh_.reply(result.key_.incarnation_, result);
    own_messages_.emplace_back(result);
    return true;
}

template <class Platform>
void traffic_duty<Platform>::probe()
{
    pool_.probe();
}

template <class Platform>
std::optional<running_parent>
traffic_duty<Platform>::find_running(attempt_id const& attempt) const
{
    return guard_.find_running(attempt);
}

template <class Platform>
void traffic_duty<Platform>::on_call_ended(
    execution_key parent,
    std::vector<service_pressure> const& pressures,
    bool failed)
{
    guard_.on_call_ended(parent, pressures, failed);
}

template <class Platform>
bool traffic_duty<Platform>::send(endpoint daemon, relay_message message)
{
    if (daemon != identity_.peer_address_)
        return mesh_.send(daemon, message);
    own_messages_.push_back(std::move(message));
    return true;
}

template <class Platform>
void traffic_duty<Platform>::ask(endpoint daemon)
{
    if (daemon == identity_.peer_address_)
        directory_.load(daemon, guard_.load(clock_.now()), clock_.now());
    else
        mesh_.send(daemon, own_beacon());
}

template <class Platform>
void traffic_duty<Platform>::answer(
    client_token token, client_answer const& answer)
{
    std::string headers = answer.headers_;
    if (answer.retry_after_)
        headers = fmt::format(
            "Retry-After: {:.2f}\r\n",
            absl::ToDoubleSeconds(*answer.retry_after_));
    clients_.answer(
        token,
        {.status_ = answer.status_,
         .headers_ = std::move(headers),
         .body_ = answer.body_});
}

template <class Platform>
void traffic_duty<Platform>::submit(
    std::uint64_t number, store_operation const& operation)
{
    metrics_.add("store_calls_total");
    store_.submit(number, operation);
}

template <class Platform>
void traffic_duty<Platform>::on_policy(
    std::shared_ptr<forwarding_policy const> const& policy)
{
    if (!entry_.put_in_force(std::make_shared<route_index const>(policy)))
        return;
    clients_.set_limits(policy->limits_);
    log("info",
        "policy_in_force",
        fmt::format(
            "version={:x} routes={}",
            policy->version_,
            policy->routes_.size()));
    mesh_.send_beacons();
}

template <class Platform>
void traffic_duty<Platform>::on_upstreams(
    std::vector<stored_upstream> const& upstreams)
{
    absl::Time const now = clock_.now();
    stored_daemons_.clear();
    for (stored_upstream const& entry : upstreams)
    {
        endpoint const daemon = entry.record_.daemon_;
        stored_daemons_.insert(daemon);
        if (daemon != identity_.peer_address_)
        {
            directory_.learn(entry.record_);
            mesh_.want(daemon, now);
        }
        else if (
            !lifecycle_.memory_complete() &&
            lifecycle_.on_remembered(entry.record_, now))
            on_upstream_changed(now);
    }
    if (session_.listed() && lifecycle_.on_memory_complete(now))
        on_upstream_changed(now);
    sweep(upstreams, now);
}

template <class Platform>
void traffic_duty<Platform>::sweep(
    std::vector<stored_upstream> const& objects, absl::Time now)
{
    std::vector<daemon_reach> reach;
    for (endpoint const daemon : directory_.daemons())
    {
        if (daemon != identity_.peer_address_)
            reach.push_back({daemon, mesh_.unreached(daemon, now)});
    }
    auto const departed = departed_sweep(identity_.peer_address_, started_at_)
                              .choose(objects, reach, now);
    if (!departed)
        return;
    log("info",
        "object_removed",
        fmt::format(
            "name={} revision={}", departed->name_, departed->revision_));
    session_.remove(*departed);
}

template <class Platform>
void traffic_duty<Platform>::on_store_reachable(bool reachable)
{
    if (std::exchange(store_reachable_, reachable) != reachable)
        log(reachable ? "info" : "warning",
            reachable ? "store_regained" : "store_lost",
            "");
}

template <class Platform>
void traffic_duty<Platform>::note(decision_note const& note)
{
    counters_.note(note);
    log_.note(note, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::log(
    std::string_view level, std::string_view event, std::string const& fields)
{
    log_.event(level, event, fields, clock_.now());
}

} // namespace samphire
