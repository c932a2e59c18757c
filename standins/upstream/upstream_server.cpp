#include "upstream/upstream_server.hpp"

#include "base/text.hpp"
#include "upstream/control_parser.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace samphire::standin
{

namespace
{

constexpr std::size_t ring_capacity = 8192;
constexpr char const* execution_header = "Samphire-Execution";
constexpr absl::Duration announcement_interval = absl::Seconds(1);
constexpr absl::Duration call_timeout = absl::Seconds(10);
// Tokens above this value belong to requests that the stand-in posts to the
// control paths of the daemon; tokens of arrived requests are always lower.
constexpr std::uint64_t first_daemon_post_token = std::uint64_t{1} << 62;

absl::Time deadline_of(http_request const& request, absl::Time now)
{
    auto const header = find_header(request.headers_, "Samphire-Timeout-Ms");
    auto const milliseconds = parse_number<std::int64_t>(header.value_or(""));
    return milliseconds ? now + absl::Milliseconds(*milliseconds)
                        : absl::InfiniteFuture();
}

std::uint64_t to_microseconds(absl::Duration time)
{
    return static_cast<std::uint64_t>(
        absl::ToInt64Microseconds(std::max(time, absl::ZeroDuration())));
}

} // namespace

upstream_server::upstream_server(upstream_settings settings)
    : settings_(std::move(settings)), events_(ring_capacity),
      server_(settings_.listen_, *this), client_(ring_capacity, *this),
      service_times_(settings_, clock_.now()),
      load_history_(settings_.load_report_lag_)
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
        absl::Time const next_deadline = std::min(
            {service_ends_.next_deadline(),
             deadlines_.next_deadline(),
             next_announcement_});
        absl::Duration const wait = std::clamp(
            next_deadline - clock_.now(),
            absl::ZeroDuration(),
            announcement_interval);
        auto const event = events_.pop(wait);
        absl::Time const now = clock_.now();
        if (event)
            std::visit([&](auto const& value) { handle(value, now); }, *event);
        while (auto const token = service_ends_.pop_due(now))
            advance_request(*token, now);
        while (auto const token = deadlines_.pop_due(now))
            expire_request(*token, now);
        start_waiting_requests(now);
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
        server_.answer(
            token, {.body_ = payload(run_counts_.text(settings_.service_))});
    else if (request.path_ == "/metrics")
        server_.answer(token, {.body_ = payload(counters_.text())});
    else
        events_.push(request_arrived{token, request});
}

void upstream_server::on_client_disconnected(request_token token)
{
    events_.push(request_abandoned{token});
}

void upstream_server::on_response(
    request_token token, http_response const& response)
{
    if (token.value() < first_daemon_post_token)
        events_.push(call_ended{token, response.status_});
}

void upstream_server::on_failure(request_token token, http_client_error)
{
    if (token.value() < first_daemon_post_token)
        events_.push(call_ended{token, 0});
}

void upstream_server::handle(request_arrived const& arrived, absl::Time now)
{
    http_request const& request = arrived.request_;
    if (!server_.is_current(arrived.token_))
        return;
    if (request.path_ == "/control")
    {
        apply_control(arrived.token_, request);
        return;
    }
    bool const has_crash_marker =
        !settings_.crash_marker_.empty() &&
        request.body_.bytes().find(settings_.crash_marker_) !=
            std::string::npos;
    if (has_crash_marker)
    {
        run_counts_.add(request.path_.substr(1) + " " + request.body_.bytes());
        crash(now);
        return;
    }
    if (settings_.shed_limit_ != 0 && requests_.size() >= settings_.shed_limit_)
    {
        ++counters_.shed_;
        server_.answer(
            arrived.token_, {.status_ = 503, .body_ = payload("shed\n")});
        return;
    }
    absl::Time const deadline = deadline_of(request, now);
    requests_.emplace(
        arrived.token_,
        request_in_progress{.request_ = request, .deadline_ = deadline});
    waiting_requests_.push_back(arrived.token_);
    if (deadline < absl::InfiniteFuture())
        deadlines_.set(arrived.token_, deadline);
}

void upstream_server::handle(request_abandoned const& abandoned, absl::Time now)
{
    if (!requests_.contains(abandoned.token_))
        return;
    ++counters_.abandoned_;
    drop_request(abandoned.token_, now);
}

void upstream_server::handle(call_ended const& ended, absl::Time now)
{
    auto const found = requests_.find(ended.token_);
    if (found == requests_.end())
        return;
    found->second.has_child_call_in_progress_ = false;
    if (ended.status_ == 200)
    {
        ++found->second.succeeded_child_calls_;
        advance_request(ended.token_, now);
        return;
    }
    ++counters_.failed_calls_;
    drop_request(ended.token_, now);
    server_.answer(
        ended.token_, {.status_ = 502, .body_ = payload("call failed\n")});
}

void upstream_server::apply_control(
    request_token token, http_request const& request)
{
    control_parse_result const parsed = parse_control(request.body_.bytes());
    if (!parsed)
    {
        server_.answer(
            token, {.status_ = 400, .body_ = payload(parsed.error() + "\n")});
        return;
    }
    service_times_.set_slowdown(parsed.value().slowdown_);
    if (parsed.value().drain_)
        post_to_daemon("/drain", "");
    if (parsed.value().crash_)
        crash(clock_.now());
    else
        server_.answer(token, {.body_ = payload("ok\n")});
}

/// Closes every connection and drops all requests. The execution counts of
/// GET /runs stay, so that they include requests that ran before the crash.
void upstream_server::crash(absl::Time now)
{
    ++counters_.crashes_;
    while (!requests_.empty())
        drop_request(requests_.begin()->first, now);
    server_.crash(settings_.crash_downtime_);
    down_until_ = now + settings_.crash_downtime_;
    next_announcement_ = down_until_;
    service_times_.restart(down_until_);
}

void upstream_server::start_waiting_requests(absl::Time now)
{
    while (running_executions_ < settings_.slots_ && !waiting_requests_.empty())
    {
        request_token const token = waiting_requests_.front();
        waiting_requests_.pop_front();
        ++running_executions_;
        ++counters_.started_;
        request_in_progress& active_request = requests_.at(token);
        std::string const route = active_request.request_.path_.substr(1);
        run_counts_.add(route + " " + active_request.request_.body_.bytes());
        active_request.start_time_ = now;
        active_request.service_time_ =
            service_times_.sample_service_time(route, now);
        if (active_request.service_time_ > absl::ZeroDuration())
            service_ends_.set(token, now + active_request.service_time_);
        else
            advance_request(token, now);
    }
}

/// Sends the next child call of the request, or answers the request when all
/// its child calls have succeeded.
void upstream_server::advance_request(request_token token, absl::Time now)
{
    request_in_progress& active_request = requests_.at(token);
    http_request const& request = active_request.request_;
    if (active_request.succeeded_child_calls_ == settings_.calls_.size())
    {
        answer_request(token, {.status_ = 200, .body_ = request.body_});
        return;
    }
    std::vector<http_header> headers;
    for (char const* const name : {"traceparent", execution_header})
    {
        if (auto const value = find_header(request.headers_, name))
            headers.push_back({name, *value});
    }
    absl::Duration const remaining =
        std::min(call_timeout, active_request.deadline_ - now);
    headers.push_back(
        {"Samphire-Timeout-Ms",
         std::to_string(
             std::max<std::int64_t>(1, absl::ToInt64Milliseconds(remaining)))});
    active_request.has_child_call_in_progress_ = true;
    bool const sent = client_.send(
        token,
        {.method_ = "POST",
         .destination_ = settings_.daemon_,
         .path_ =
             "/call/" + settings_.calls_[active_request.succeeded_child_calls_],
         .headers_ = std::move(headers),
         .body_ = request.body_,
         .timeout_ = remaining});
    if (!sent)
        handle(call_ended{token, 0}, now);
}

void upstream_server::expire_request(request_token token, absl::Time now)
{
    ++counters_.expired_;
    drop_request(token, now);
    server_.answer(token, {.status_ = 504, .body_ = payload("expired\n")});
}

void upstream_server::answer_request(
    request_token token, http_response const& response)
{
    ++counters_.answered_;
    counters_.useful_microseconds_ +=
        to_microseconds(requests_.at(token).service_time_);
    auto const execution =
        find_header(requests_.at(token).request_.headers_, execution_header);
    header_list headers = response.headers_;
    if (execution)
        headers.push_back({execution_header, *execution});
    deadlines_.erase(token);
    requests_.erase(token);
    --running_executions_;
    server_.answer(
        token,
        {.status_ = response.status_,
         .headers_ = std::move(headers),
         .body_ = response.body_});
}

void upstream_server::drop_request(request_token token, absl::Time now)
{
    request_in_progress const& active_request = requests_.at(token);
    if (std::erase(waiting_requests_, token) == 0)
    {
        --running_executions_;
        counters_.wasted_microseconds_ += to_microseconds(std::min(
            active_request.service_time_, now - active_request.start_time_));
    }
    if (active_request.has_child_call_in_progress_)
        client_.cancel(token);
    service_ends_.erase(token);
    deadlines_.erase(token);
    requests_.erase(token);
}

void upstream_server::announce(absl::Time now)
{
    next_announcement_ = now + announcement_interval;
    post_to_daemon(
        "/announce",
        fmt::format(
            R"({{"service":"{}","address":"{}","slots":{},"load":{},)"
            R"("cold":{}}})",
            settings_.service_,
            address().text(),
            settings_.slots_,
            load_history_.record(running_executions_, now),
            service_times_.is_cold(now)));
}

void upstream_server::post_to_daemon(std::string path, std::string body)
{
    client_.send(
        request_token(first_daemon_post_token + ++posts_to_daemon_),
        {.method_ = "POST",
         .destination_ = settings_.daemon_,
         .path_ = std::move(path),
         .body_ = payload(std::move(body)),
         .timeout_ = announcement_interval});
}

} // namespace samphire::standin
