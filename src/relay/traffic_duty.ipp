#pragma once

#include "base/hashing.hpp"
#include "logging/quoted_value.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

namespace samphire
{

namespace traffic_settings
{

// A request is refused once it was running at this many upstream crashes.
constexpr std::size_t crash_threshold = 3;
// Ratio of traffic_limits::retry_burst_ that all daemons use together; each
// daemon uses an equal share.
constexpr double local_burst_ratio = 0.6;
// Number of daemons by which the burst is divided until the directory knows how
// many daemons there are.
constexpr std::size_t assumed_daemon_count = 32;
constexpr double seconds_per_kilosecond = 1000;

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
      store_(store), events_(events), decision_metrics_(metrics_),
      log_(log, limits.max_log_lines_per_second_), random_(seed),
      directory_(limits.max_known_daemons_),
      crashes_(traffic_settings::crash_threshold),
      lifecycle_(
          identity_.peer_address_,
          identity_.upstream_address_,
          identity_.zone_,
          clock_.now()),
      guard_({}, *this),
      entry_(
          {},
          identity_.incarnation_,
          identity_.service_,
          identity_.zone_,
          directory_,
          retry_allowance(
              limits.retry_ratio_,
              limits.retry_burst_ * traffic_settings::local_burst_ratio /
                  traffic_settings::assumed_daemon_count,
              limits.retry_window_),
          crashes_,
          least_wait_placement(),
          random_,
          *this),
      store_session_(
          {}, object_name_of(identity_.peer_address_), random_, *this),
      policy_exchange_(random_), stop_progress_(limits.stop_grace_),
      pool_(
          identity_.upstream_address_,
          limits.max_total_answer_bytes_,
          clock,
          loop_,
          *this),
      health_probe_(identity_.upstream_address_, loop_, *this),
      mesh_(identity_.peer_address_, {}, codec, clock, loop_, *this),
      client_frontend_(
          identity_.client_address_,
          {.max_connections_ = limits.max_client_connections_,
           .max_total_body_bytes_ = limits.max_total_body_bytes_},
          last_token_,
          clock,
          loop_,
          *this),
      readiness_frontend_(
          identity_.ready_address_, last_token_, clock, loop_, metrics_, *this),
      control_frontend_(
          identity_.control_address_,
          last_token_,
          clock,
          loop_,
          metrics_,
          *this)
{
    if (!identity_.metrics_address_.empty())
        metrics_frontend_ = std::make_unique<
            control_frontend<typename Platform::heartbeats, traffic_duty>>(
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
            process_events(clock_.now());
        },
        descriptor_role::service);
    loop_.set_error_handler([this](std::exception const& error)
                            { on_unexpected_error(error); });
    started_at_ = clock_.now();
    directory_.update_from_daemon(lifecycle_.record());
    directory_.set_connected(identity_.peer_address_, identity_.incarnation_);
    for (endpoint const seed_address : seeds)
    {
        endpoint const peer(
            seed_address.address(), identity_.peer_address_.port());
        if (peer != identity_.peer_address_)
            mesh_.add_peer(peer, started_at_);
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
            identity_.daemon_id_,
            identity_.zone_,
            identity_.service_.value(),
            identity_.peer_address_.text(),
            identity_.incarnation_));
    store_session_.set_watching(false, now);
    store_session_.start(now);
    store_session_.set_own_record(lifecycle_.record(), now);
    while (!stop_progress_.finished(
        unfinished_work(),
        stop_progress_.stopping() ? mesh_.unsent_link_count() : 0,
        now))
    {
        run_round();
        now = clock_.now();
    }
    log("info",
        "stopped",
        fmt::format(
            "unanswered={} running={}",
            entry_.requests_in_progress(),
            guard_.unfinished_executions()));
    guard_.end_all(now);
    deliver_own_messages(now);
    entry_.end_all(now);
}

template <class Platform>
void traffic_duty<Platform>::run_round()
{
    try
    {
        deliver_own_messages(clock_.now());
        loop_.run_once(loop_timeout(clock_.now()));
        absl::Time const now = clock_.now();
        deliver_own_messages(now);
        tick(now);
        failed_rounds_ = 0;
    }
    catch (std::exception const& error)
    {
        on_unexpected_error(error);
        // A daemon that fails in every round is of no use; a new process may
        // be.
        if (++failed_rounds_ > max_failed_rounds)
            throw;
    }
}

template <class Platform>
void traffic_duty<Platform>::on_unexpected_error(std::exception const& error)
{
    metrics_.add("unexpected_errors_total");
    log("error", "unexpected_error", "reason=" + quoted_value(error.what()));
}

template <class Platform>
std::size_t traffic_duty<Platform>::unfinished_work() const
{
    std::size_t const work =
        entry_.requests_in_progress() + guard_.unfinished_executions();
    // Counts answers that are not written completely only while the daemon
    // stops, since it looks at each connection.
    if (!stop_progress_.stopping())
        return work;
    return work + client_frontend_.unsent_answer_count();
}

template <class Platform>
absl::Duration traffic_duty<Platform>::loop_timeout(absl::Time now) const
{
    if (!own_messages_.empty())
        return absl::ZeroDuration();
    absl::Time const next = std::min(
        {guard_.next_deadline(),
         entry_.next_deadline(),
         store_session_.next_deadline(),
         policy_exchange_.next_deadline(),
         next_slow_tick_});
    absl::Duration const max_wait =
        stop_progress_.stopping() ? tick_interval : slow_tick_interval;
    return std::clamp(next - now, absl::ZeroDuration(), max_wait);
}

template <class Platform>
void traffic_duty<Platform>::tick(absl::Time now)
{
    guard_.tick(now);
    entry_.tick(now);
    store_session_.tick(now);
    if (auto const daemon = policy_exchange_.next_daemon_to_ask(now))
        mesh_.send(*daemon, policy_request{entry_.policy_version()});
    if (!stop_progress_.accepts_orders(now))
        guard_.stop(now);
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
    elect_watcher(now);
    client_frontend_.tick(now);
    readiness_frontend_.tick(now);
    control_frontend_.tick(now);
    if (metrics_frontend_)
        metrics_frontend_->tick(now);
    pool_.tick(now);
    health_probe_.tick(now);
    bool const recovery_over = now >= started_at_ + max_recovery_duration;
    if (!lifecycle_.is_record_recovery_complete() &&
        (store_session_.has_read_fresh_upstream_list() ||
         received_peer_hello_ || recovery_over) &&
        lifecycle_.on_record_recovery_complete(now))
        on_upstream_changed(record_source::heartbeat, now);
    report_unconfirmed_upstream();
    start_due_health_check(now);
    for (endpoint const daemon : directory_.daemons())
    {
        if (daemon == identity_.peer_address_)
            continue;
        mesh_.add_peer(daemon, now);
        if (!stored_daemons_.contains(daemon) &&
            mesh_.unreachable_duration(daemon, now) > daemon_removal_delay)
        {
            mesh_.remove_peer(daemon);
            directory_.remove_daemon(daemon);
            log("info", "daemon_forgotten", "peer=" + daemon.text());
        }
    }
    entry_.set_retry_burst(
        limits_.retry_burst_ * traffic_settings::local_burst_ratio /
        static_cast<double>(std::max<std::size_t>(directory_.size(), 1)));
    load_report const load = guard_.load(now);
    std::uint32_t const pressure_permille =
        directory_.pressure_of_service(identity_.service_).pressure_permille_;
    if (pressure_permille > 0 || load.queued_executions_ > 0)
        log("info",
            "service_pressed",
            fmt::format(
                "running={} queued={} slots={} run_time_us={} room_per_ks={} "
                "demand_per_ks={} pressure_permille={}",
                load.running_executions_,
                load.queued_executions_,
                load.slots_,
                load.run_time_us_,
                load.capacity_per_ks_,
                fmt::join(load.demand_per_ks_, ","),
                pressure_permille));
    metrics_.set("running", load.running_executions_);
    metrics_.set("queued", load.queued_executions_);
    metrics_.set("slots", load.slots_);
    metrics_.set("pressure_permille", pressure_permille);
    metrics_.set(
        "room_per_second",
        load.capacity_per_ks_ / traffic_settings::seconds_per_kilosecond);
    metrics_.set(
        "rate_limit_per_second",
        load.rate_limit_.requests_per_ks_ /
            traffic_settings::seconds_per_kilosecond);
    metrics_.set(
        "run_time_seconds",
        absl::ToDoubleSeconds(absl::Microseconds(load.run_time_us_)));
    metrics_.set(
        "peers_connected", static_cast<double>(mesh_.connected_peer_count()));
    metrics_.set(
        "client_connections",
        static_cast<double>(client_frontend_.connection_count()));
    metrics_.set(
        "upstream_connections_opened",
        static_cast<double>(pool_.opened_connection_count()));
    metrics_.set(
        "policy_version", static_cast<double>(entry_.policy_version()));
    metrics_.set(
        "policy_unconfirmed_seconds",
        absl::ToDoubleSeconds(
            now - std::max(policy_confirmed_at_, started_at_)));
}

template <class Platform>
void traffic_duty<Platform>::process_events(absl::Time now)
{
    while (auto event = events_.pop())
    {
        if (auto const* const completed_call =
                std::get_if<store_call_completed>(&*event))
        {
            report_defects(completed_call->outcome_.object_defects_);
            on_store_call_ended(*completed_call, now);
            store_session_.on_outcome(
                completed_call->call_number_, completed_call->outcome_, now);
        }
        else if (std::holds_alternative<stop_requested>(*event))
            begin_stop(now);
        else if (
            auto const* const new_settings =
                std::get_if<settings_changed>(&*event))
        {
            log("info",
                "settings_reloaded",
                "service=" + new_settings->service_.value());
            entry_.set_caller_service(new_settings->service_);
        }
    }
}

template <class Platform>
void traffic_duty<Platform>::begin_stop(absl::Time now)
{
    if (stop_progress_.stopping())
        return;
    log("info",
        "stopping",
        fmt::format(
            "entry={} guard={}",
            entry_.requests_in_progress(),
            guard_.unfinished_executions()));
    stop_progress_.begin(now);
    entry_.stop_by(stop_progress_.work_end());
    guard_.stop_by(stop_progress_.work_end());
    directory_.set_stopping(identity_.peer_address_, true);
    client_frontend_.close_after_answers();
    mesh_.send_beacons();
}

template <class Platform>
void traffic_duty<Platform>::deliver_own_messages(absl::Time now)
{
    while (!own_messages_.empty())
    {
        relay_message message = std::move(own_messages_.front());
        own_messages_.pop_front();
        on_peer_message(identity_.peer_address_, message);
    }
    while (auto order = order_intake_.take())
        guard_.on_order(std::move(*order), now);
}

template <class Platform>
void traffic_duty<Platform>::on_frontend_request(
    client_token token,
    boost::beast::http::request<boost::beast::http::string_body>& message,
    absl::Time received)
{
    auto request = codec::decode_request(message);
    if (!request)
    {
        log("warning", "request_without_id", "");
        client_frontend_.answer(
            token, {.status_ = 400, .close_connection_ = true});
        return;
    }
    request->token_ = token;
    request->received_at_ = received;
    directory_.set_load_report(
        identity_.peer_address_, guard_.load(clock_.now()), clock_.now());
    entry_.on_request(std::move(*request), clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_frontend_disconnect(client_token token)
{
    entry_.on_client_gone(token, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::on_frontend_request_abandoned(
    boost::beast::http::request<boost::beast::http::string_body>& message)
{
    auto const request = codec::decode_request(message);
    if (request)
        record_decision(
            {.event_ = "client_left",
             .attempt_ = request->attempt_.value(),
             .reason_ = verdict_reason::client_left,
             .progress_ = "unread"});
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
        crashes_.on_connection_lost(fingerprint, now);
    else if (failure == upstream_failure::refused)
        on_upstream_down(now);
    guard_.on_failure(key, failure, now);
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_down(absl::Time now)
{
    std::vector<std::uint64_t> const suspects = crashes_.on_upstream_down(now);
    if (suspects.empty())
        return;
    log("warning",
        "upstream_down",
        fmt::format(
            "upstream={} suspects={}",
            guard_.upstream().id_.value(),
            suspects.size()));
    std::uint64_t const crash = stable_hash(
        guard_.upstream().id_.value(),
        static_cast<std::uint64_t>(absl::ToUnixNanos(now)));
    for (std::uint64_t const fingerprint : suspects)
    {
        crashes_.on_crash(fingerprint, crash, now);
        mesh_.broadcast(crash_notice{fingerprint, crash});
    }
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_probe_result(bool reached)
{
    if (!reached)
        on_upstream_down(clock_.now());
    guard_.on_probe(reached, clock_.now());
}

template <class Platform>
bool traffic_duty<Platform>::is_ready() const
{
    return entry_.routes() && !stop_progress_.stopping();
}

template <class Platform>
std::string
traffic_duty<Platform>::on_heartbeat(upstream_heartbeat const& heartbeat)
{
    absl::Time const now = clock_.now();
    if (lifecycle_.on_heartbeat(heartbeat, now))
        on_upstream_changed(record_source::heartbeat, now);
    start_due_health_check(now);
    return std::string(lifecycle_.defect_of(heartbeat, now));
}

template <class Platform>
void traffic_duty<Platform>::on_invalid_heartbeat(
    upstream_id const& id, std::string const& defect)
{
    log("warning",
        "heartbeat_refused",
        fmt::format(
            "upstream={} defect={}",
            quoted_value(id.value()),
            quoted_value(defect)));
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_removal(upstream_id const& id)
{
    absl::Time const now = clock_.now();
    if (lifecycle_.on_removal(id, now))
        on_upstream_changed(record_source::removal, now);
}

template <class Platform>
void traffic_duty<Platform>::on_upstream_changed(
    record_source source, absl::Time now)
{
    upstream_record const& record = lifecycle_.record();
    log("info",
        "upstream_changed",
        fmt::format(
            "upstream={} born={} service={} slots={} phase={} source={}",
            record.id_.value(),
            record.start_time_ms_,
            record.service_.value(),
            record.slots_,
            static_cast<int>(record.phase_),
            record_source_text(source)));
    // A process that did not announce its departure has crashed, even if the
    // next one accepts connections before a probe is refused.
    if (guard_.upstream().phase_ == upstream_phase::ready &&
        !is_same_process(guard_.upstream(), record))
        on_upstream_down(now);
    guard_.set_upstream(record, now);
    directory_.update_from_daemon(record);
    store_session_.set_own_record(record, now);
    mesh_.broadcast(upstream_notice{record});
    mesh_.send_beacons();
}

template <class Platform>
void traffic_duty<Platform>::start_due_health_check(absl::Time now)
{
    std::optional<service_name> const service = lifecycle_.due_health_check();
    if (!service || health_probe_.is_in_progress() || !entry_.routes())
        return;
    service_rule const* const rule = entry_.routes()->service(*service);
    if (!rule)
        return;
    lifecycle_.on_health_check_started();
    metrics_.add("health_checks_total");
    health_probe_.start(rule->health_path_, now);
}

template <class Platform>
void traffic_duty<Platform>::on_health_check_ended(health_report const& report)
{
    absl::Time const now = clock_.now();
    switch (report.status_)
    {
    case health_status::healthy:
        if (lifecycle_.on_healthy(report.id_, now))
            on_upstream_changed(record_source::health, now);
        return;
    case health_status::unavailable:
        lifecycle_.on_health_check_refused();
        return;
    case health_status::unanswered:
        if (lifecycle_.on_health_check_unanswered(now))
            on_upstream_changed(record_source::heartbeat, now);
        return;
    }
}

template <class Platform>
void traffic_duty<Platform>::report_unconfirmed_upstream()
{
    std::optional<upstream_process> const process =
        lifecycle_.unconfirmed_process();
    if (!process || process == reported_unconfirmed_upstream_)
        return;
    reported_unconfirmed_upstream_ = process;
    log("info",
        "upstream_unconfirmed",
        fmt::format(
            "upstream={} born={}",
            process->id_.value(),
            process->start_time_ms_));
}

template <class Platform>
void traffic_duty<Platform>::start(
    execute_order const& order,
    upstream_record const& upstream,
    absl::Duration remaining_time)
{
    pool_.start(order, upstream, remaining_time);
}

template <class Platform>
bool traffic_duty<Platform>::withdraw(execution_key key)
{
    return pool_.withdraw(key);
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
void traffic_duty<Platform>::on_upstream_leaving()
{
    if (lifecycle_.on_leaving_answer())
        on_upstream_changed(record_source::answer, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::probe_upstream()
{
    pool_.probe_upstream();
}

template <class Platform>
std::optional<running_parent>
traffic_duty<Platform>::find_running_execution(attempt_id const& attempt) const
{
    return guard_.find_running_execution(attempt);
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
void traffic_duty<Platform>::ping(endpoint daemon)
{
    if (daemon == identity_.peer_address_)
        directory_.set_load_report(
            daemon, guard_.load(clock_.now()), clock_.now());
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
    client_frontend_.answer(
        token,
        {.status_ = answer.status_,
         .headers_ = std::move(headers),
         .body_ = answer.body_});
}

template <class Platform>
void traffic_duty<Platform>::record_decision(decision_record const& record)
{
    decision_metrics_.count_decision(record);
    log_.log_decision(record, clock_.now());
}

template <class Platform>
void traffic_duty<Platform>::log(
    std::string_view level, std::string_view event, std::string const& fields)
{
    log_.log_event(level, event, fields, clock_.now());
}

} // namespace samphire
