#include "ctl/drain_command.hpp"

#include <fmt/format.h>

namespace samphire
{

command_result drain_daemon(
    endpoint daemon, blocking_http_client& calls, absl::Duration timeout)
{
    auto const responses = calls.send_all(
        {{.method_ = "POST",
          .destination_ = daemon,
          .path_ = "/drain",
          .timeout_ = timeout}});
    if (!responses.front())
        return {
            .code_ = exit_code::unknown,
            .errors_ = fmt::format(
                "daemon {}: no response; it may be draining or not, and "
                "draining it again does no harm\n",
                daemon.text())};
    if (responses.front()->status_ != 200)
        return {
            .code_ = exit_code::refused,
            .errors_ = fmt::format(
                "daemon {}: refused with status {}: {}\n",
                daemon.text(),
                responses.front()->status_,
                responses.front()->body_.bytes())};
    return {.output_ = fmt::format("daemon {} is draining\n", daemon.text())};
}

} // namespace samphire
