#include "operations/daemon_survey.hpp"

#include "operations/daemon_report_parser.hpp"

#include <utility>

namespace samphire
{

daemon_survey::daemon_survey(
    blocking_http_client& calls,
    std::vector<endpoint> addresses,
    absl::Duration timeout)
    : calls_(calls), addresses_(std::move(addresses)), timeout_(timeout)
{
}

std::vector<daemon_report> daemon_survey::collect_reports()
{
    std::vector<outgoing_request> requests;
    for (endpoint const address : addresses_)
        requests.push_back(
            {.destination_ = address,
             .path_ = "/status",
             .timeout_ = timeout_});
    auto const responses = calls_.send_all(requests);
    std::vector<daemon_report> reports;
    for (std::size_t index = 0; index < addresses_.size(); ++index)
    {
        bool const answered =
            responses[index] && responses[index]->status_ == 200;
        reports.push_back(parse_daemon_report(
            addresses_[index],
            answered ? responses[index]->body_.bytes() : std::string()));
    }
    return reports;
}

} // namespace samphire
