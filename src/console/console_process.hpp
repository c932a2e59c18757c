#pragma once

#include "base/bounded_ring.hpp"
#include "console/console_gateway.hpp"
#include "console/console_pages.hpp"
#include "operations/blocking_platform_client.hpp"
#include "operations/daemon_survey.hpp"
#include "settings/setting_values.hpp"

namespace samphire
{

/// Owns the threads of the console and the ring that connects them.
class console_process
{
public:
    /// Binds the HTTP port; throws std::system_error when the port is in use.
    explicit console_process(setting_values const& settings);

    /// Serves browsers until stop() is called.
    void run();

    /// Makes run() return. Any thread may call this function.
    void stop();

private:
    static constexpr std::size_t request_capacity = 64;

    void answer_requests();

    bounded_ring<console_request> requests_{request_capacity};
    console_gateway gateway_;
    blocking_platform_client platform_;
    blocking_http_client daemons_;
    policy_store<blocking_platform_client> store_{platform_};
    daemon_survey survey_;
    console_pages<blocking_platform_client, daemon_survey> pages_{
        store_, survey_};
};

} // namespace samphire
