#include "upstream/upstream_server.hpp"

#include "base/text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace samphire::standin
{

namespace
{

constexpr std::size_t ring_capacity = 8192;
constexpr absl::Duration announcement_interval = absl::Seconds(1);
constexpr absl::Duration call_timeout = absl::Seconds(10);
// Announcements use tokens that no request has.
constexpr std::uint64_t announcement_token = std::uint64_t{1} << 62;

std::vector<std::string> parse_calls(std::string const& text)
{
    std::vector<std::string> result;
    for (std::string_view const part : split(text, ','))
    {
        if (!part.empty())
            result.emplace_back(part);
    }
    return result;
}

} // namespace

upstream_server::upstream_server(setting_values const& settings)
    : service_(settings.text("service")),
      address_(settings.address("http-address")),
      daemon_(settings.address("daemon-address")),
      slots_(static_cast<std::size_t>(settings.integer("slots"))),
      service_time_(settings.duration("service-ms")),
      calls_(parse_calls(settings.text("calls"))), events_(ring_capacity),
      server_({.listen_ = address_}, *this), client_(ring_capacity, *this)
{
}

void upstream_server::run_server()
{
    server_.run();
}

void upstream_server::run_client()
{
    client_.run();
}

void upstream_server::run_work()
{
    while (!stopping_.load(std::memory_order_relaxed))
    {
        absl::Time const next = std::min(timers_.next(), next_announcement_);
        absl::Duration const wait = std::clamp(
            next - clock_.now(), absl::ZeroDuration(), announcement_interval);
        auto const happened = events_.pop(wait);
        absl::Time const now = clock_.now();
        if (happened)
            handle(*happened, now);
        while (auto const token = timers_.pop_due(now))
            advance(*token, now);
        if (now >= next_announcement_)
            announce(now);
    }
}

void upstream_server::stop()
{
    stopping_.store(true, std::memory_order_relaxed);
    events_.close();
    server_.stop();
    client_.stop();
}

void upstream_server::on_request(
    request_token token, http_request const& request)
{
    if (request.path_ == "/runs")
        server_.answer(token, {.body_ = payload(runs_page())});
    else
        events_.push(work_arrived{token, request});
}

void upstream_server::on_abandoned(request_token token)
{
    events_.push(work_abandoned{token});
}

void upstream_server::on_response(
    request_token token, http_response const& response)
{
    if (token.value() < announcement_token)
        events_.push(call_ended{token, response.status_});
}

void upstream_server::on_failure(request_token token, http_client_error)
{
    if (token.value() < announcement_token)
        events_.push(call_ended{token, 0});
}

void upstream_server::handle(upstream_event const& happened, absl::Time now)
{
    if (auto const* const arrived = std::get_if<work_arrived>(&happened))
    {
        work_.emplace(arrived->token_, upstream_work{arrived->request_});
        waiting_.push_back(arrived->token_);
    }
    else if (auto const* const gone = std::get_if<work_abandoned>(&happened))
    {
        bool const waited = std::erase(waiting_, gone->token_) > 0;
        timers_.erase(gone->token_);
        if (work_.erase(gone->token_) > 0 && !waited)
            --running_;
    }
    else if (auto const* const ended = std::get_if<call_ended>(&happened))
    {
        auto const found = work_.find(ended->token_);
        if (found == work_.end())
            return;
        if (ended->status_ != 200)
        {
            finish(ended->token_, {.status_ = 502});
        }
        else
        {
            ++found->second.calls_done_;
            advance(ended->token_, now);
        }
    }
    start_waiting(now);
}

void upstream_server::start_waiting(absl::Time now)
{
    while (running_ < slots_ && !waiting_.empty())
    {
        request_token const token = waiting_.front();
        waiting_.pop_front();
        ++running_;
        http_request const& request = work_.at(token).request_;
        {
            std::scoped_lock const lock(runs_mutex_);
            ++runs_[request.path_.substr(1) + " " + request.body_.bytes()];
        }
        timers_.set(token, now + service_time_);
    }
}

/// Makes the next call of a request, or answers it.
void upstream_server::advance(request_token token, absl::Time now)
{
    upstream_work const& work = work_.at(token);
    http_request const& request = work.request_;
    if (work.calls_done_ == calls_.size())
    {
        finish(token, {.status_ = 200, .body_ = request.body_});
        start_waiting(now);
        return;
    }
    header_list headers;
    for (char const* const name : {"traceparent", "Samphire-Execution"})
    {
        if (auto const value = find_header(request.headers_, name))
            headers.push_back({name, *value});
    }
    client_.send(
        token,
        {.method_ = "POST",
         .to_ = daemon_,
         .path_ = "/call/" + calls_[work.calls_done_],
         .headers_ = headers,
         .body_ = request.body_,
         .timeout_ = call_timeout});
}

void upstream_server::finish(request_token token, http_response const& response)
{
    work_.erase(token);
    --running_;
    server_.answer(token, response);
}

void upstream_server::announce(absl::Time now)
{
    next_announcement_ = now + announcement_interval;
    client_.send(
        request_token(announcement_token + ++announcements_),
        {.method_ = "POST",
         .to_ = daemon_,
         .path_ = "/announce",
         .body_ = payload(fmt::format(
             R"({{"service":"{}","address":"{}","slots":{},"load":{}}})",
             service_,
             address_.text(),
             slots_,
             running_)),
         .timeout_ = announcement_interval});
}

std::string upstream_server::runs_page() const
{
    std::scoped_lock const lock(runs_mutex_);
    std::string page;
    for (auto const& [work, count] : runs_)
        page += fmt::format("{} {} {}\n", count, service_, work);
    return page;
}

} // namespace samphire::standin
