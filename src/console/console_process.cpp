#include "console/console_process.hpp"

#include "logging/log_line.hpp"

#include <absl/time/clock.h>
#include <fmt/format.h>

#include <cstdio>

namespace samphire
{

namespace
{

constexpr absl::Duration max_wait_for_request = absl::Seconds(60);

void log_request(http_request const& request, http_response const& response)
{
    log_event const event{
        .level_ = response.status_ < 500 ? log_level::info : log_level::warning,
        .channel_ = "console",
        .name_ = "request_answered",
        .fields_ = {
            {"method", request.method_},
            {"path", request.path_},
            {"status", fmt::format("{}", response.status_)}}};
    fmt::print(stderr, "{}\n", format_log_line(event, absl::Now()));
}

} // namespace

console_process::console_process(setting_values const& settings)
    : gateway_(
          {.listen_address_ = settings.address("http-address"),
           .max_connections_ = request_capacity},
          requests_),
      platform_(settings.address("platform-address")),
      survey_(
          daemons_,
          settings.address_list("daemons"),
          settings.duration("daemon-timeout-ms"))
{
}

void console_process::run()
{
    duty_thread const answers("answers", [&] { answer_requests(); });
    gateway_.run();
    requests_.close();
}

void console_process::stop()
{
    gateway_.stop();
}

void console_process::answer_requests()
{
    while (!requests_.closed())
    {
        auto const next = requests_.pop(max_wait_for_request);
        if (!next)
            continue;
        http_response const response = pages_.handle(next->request_);
        log_request(next->request_, response);
        gateway_.answer(next->token_, response);
    }
}

} // namespace samphire
