#pragma once

#include "base/duty_thread.hpp"
#include "core/daemon_core.hpp"
#include "daemon/decision_loop.hpp"
#include "daemon/output_duties.hpp"
#include "settings/setting_values.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// Owns the daemon_core of one daemon, its duty threads and the rings between
/// them.
template <policies Policies>
class daemon_process
{
public:
    /// Binds all ports; throws std::system_error when one is in use.
    daemon_process(
        setting_values const& settings,
        incarnation own_incarnation,
        std::uint64_t seed)
        : identity_{
              .daemon_ = daemon_id(settings.text("daemon-id")),
              .domain_ = domain_name(settings.text("domain")),
              .endpoint_ = settings.address("peer-address"),
              .incarnation_ = own_incarnation},
          events_(ring_capacity),
          state_(static_cast<std::size_t>(settings.integer("span-capacity"))),
          core_(core_settings_from(settings), identity_, seed),
          telemetry_(
              static_cast<log_level>(settings.integer("log-level")), state_),
          callers_(
              {.listen_address_ = settings.address("http-address")}, events_, state_),
          upstream_(
              static_cast<std::size_t>(settings.integer("call-capacity")),
              events_),
          peers_(
              identity_.endpoint_, make_codec(settings), events_, state_),
          datagrams_(
              identity_.endpoint_, make_codec(settings), events_, state_),
          platform_events_(events_),
          platform_(
              settings.address("platform-address"), max_platform_calls,
              platform_events_),
          loop_(
              core_, events_,
              {callers_, upstream_, peers_, datagrams_, platform_, telemetry_,
               state_})
    {
    }

    /// Runs until the graceful shutdown that stop() starts has finished.
    void run()
    {
        duty_thread const telemetry("telemetry", [&] { telemetry_.run(); });
        {
            duty_thread const callers("callers", [&] { callers_.run(); });
            duty_thread const upstream("upstream", [&] { upstream_.run(); });
            duty_thread const peers("peers", [&] { peers_.run(); });
            duty_thread const datagrams("datagrams", [&] { datagrams_.run(); });
            duty_thread const platform("platform", [&] { platform_.run(); });
            duty_thread const decisions("decisions", [&] { run_decisions(); });
        }
        telemetry_.stop();
    }

    /// Starts the graceful shutdown; any thread may call this function.
    void stop()
    {
        events_.push(shutdown_requested{});
    }

private:
    static constexpr std::size_t ring_capacity = 4096;
    static constexpr std::size_t max_platform_calls = 256;

    static core_settings core_settings_from(setting_values const& settings)
    {
        return {
            .call_capacity_ =
                static_cast<std::size_t>(settings.integer("call-capacity")),
            .queue_capacity_ =
                static_cast<std::size_t>(settings.integer("queue-capacity")),
            .registry_ =
                {.max_records_ = static_cast<std::size_t>(
                     settings.integer("record-capacity")),
                 .epoch_duration_ = settings.duration("epoch-ms")},
            .seeds_ = settings.address_list("seeds")};
    }

    message_codec make_codec(setting_values const& settings) const
    {
        return message_codec(
            peer_key(settings.text("peer-secret")),
            {identity_.daemon_, identity_.incarnation_, identity_.endpoint_});
    }

    /// Runs the decision loop, then stops the other duties except telemetry.
    void run_decisions()
    {
        loop_.run();
        events_.close();
        callers_.stop();
        peers_.stop();
        datagrams_.stop();
        upstream_.stop();
        platform_.stop();
    }

    daemon_identity const identity_;
    event_ring events_;
    daemon_state state_;
    daemon_core<Policies> core_;
    telemetry telemetry_;
    caller_gateway callers_;
    upstream_gateway upstream_;
    peer_transport peers_;
    datagram_transport datagrams_;
    platform_result_events platform_events_;
    platform_gateway<platform_result_events> platform_;
    decision_loop<daemon_core<Policies>> loop_;
};

} // namespace samphire
