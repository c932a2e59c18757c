#include "platform/platform_server.hpp"

#include "base/text.hpp"
#include "platform/fault_parser.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace samphire::standin
{

namespace
{

constexpr std::size_t ring_capacity = 8192;
constexpr std::size_t max_value_bytes = 1u << 20;
constexpr std::size_t max_name_bytes = 256;
constexpr absl::Duration max_wait_for_event = absl::Seconds(1);
constexpr std::string_view object_prefix = "/objects/";

bool is_object_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes;
}

http_response text_response(std::uint16_t status, std::string text)
{
    return {.status_ = status, .body_ = payload(std::move(text))};
}

http_response object_response(std::uint16_t status, stored_object const& object)
{
    return {
        .status_ = status,
        .headers_ =
            {{"Object-Version", std::to_string(object.version_.value())}},
        .body_ = object.value_};
}

} // namespace

platform_server::platform_server(platform_settings settings)
    : settings_(settings), events_(ring_capacity),
      server_(
          {.listen_address_ = settings.listen_,
           .max_body_bytes_ = max_value_bytes},
          *this),
      random_(settings.seed_), faults_(fault_plan{}),
      read_window_(settings.max_reads_per_s_),
      write_window_(settings.max_writes_per_s_)
{
}

void platform_server::run_server()
{
    server_.run();
}

void platform_server::run_store()
{
    while (!stopping_.load(std::memory_order_relaxed))
    {
        absl::Time const next_deadline = std::min(
            watch_timeouts_.next_deadline(),
            delayed_response_times_.next_deadline());
        auto const event = events_.pop(std::clamp(
            next_deadline - clock_.now(),
            absl::ZeroDuration(),
            max_wait_for_event));
        absl::Time const now = clock_.now();
        if (event)
            std::visit([&](auto const& value) { handle(value, now); }, *event);
        while (auto const token = watch_timeouts_.pop_due(now))
        {
            stored_object const current = store_.get(watches_.at(*token).name_);
            remove_watch(*token);
            respond(*token, object_response(304, {current.version_, {}}), now);
        }
        while (auto const token = delayed_response_times_.pop_due(now))
        {
            auto const node = delayed_responses_.extract(*token);
            server_.answer(*token, node.mapped());
        }
    }
}

void platform_server::stop()
{
    stopping_.store(true, std::memory_order_relaxed);
    events_.close();
    server_.stop();
}

void platform_server::on_request(
    request_token token, http_request const& request)
{
    if (request.path_ == "/metrics")
        server_.answer(token, text_response(200, counters_.text()));
    else if (!events_.try_push(request_arrived{token, request}))
        server_.answer(token, text_response(503, "too many calls\n"));
}

void platform_server::on_client_disconnected(request_token token)
{
    events_.push(request_abandoned{token});
}

void platform_server::handle(request_arrived const& arrived, absl::Time now)
{
    http_request const& request = arrived.request_;
    if (request.path_ == "/control")
    {
        apply_control(arrived.token_, request);
        return;
    }
    if (faults_->outage_ == outage_kind::silent)
        return;
    if (faults_->outage_ == outage_kind::refuse)
    {
        ++counters_.refused_;
        server_.answer(arrived.token_, text_response(503, "outage\n"));
        return;
    }
    std::string_view const path = request.path_;
    std::string_view const name =
        path.substr(std::min(object_prefix.size(), path.size()));
    if (path == "/objects" && request.method_ == "GET")
        list_objects(arrived.token_, now);
    else if (!path.starts_with(object_prefix) || !is_object_name(name))
        respond(arrived.token_, text_response(404, "no such page\n"), now);
    else if (request.method_ == "GET")
        read_object(
            arrived.token_, object_name(std::string(name)), request, now);
    else if (request.method_ == "PUT")
        write_object(
            arrived.token_, object_name(std::string(name)), request, now);
    else
        respond(
            arrived.token_, text_response(400, "method: GET or PUT\n"), now);
}

void platform_server::handle(request_abandoned const& abandoned, absl::Time)
{
    remove_watch(abandoned.token_);
    delayed_response_times_.erase(abandoned.token_);
    delayed_responses_.erase(abandoned.token_);
}

void platform_server::apply_control(
    request_token token, http_request const& request)
{
    fault_parse_result const parsed = parse_faults(request.body_.bytes());
    if (!parsed)
    {
        server_.answer(token, text_response(400, parsed.error() + "\n"));
        return;
    }
    faults_.emplace(parsed.value());
    remaining_lost_answers_ = faults_->lost_answer_count_;
    server_.answer(token, text_response(200, "ok\n"));
}

void platform_server::list_objects(request_token token, absl::Time now)
{
    if (admit(read_window_, token, now))
    {
        ++counters_.reads_;
        respond(token, text_response(200, store_.names_json()), now);
    }
}

void platform_server::read_object(
    request_token token,
    object_name const& name,
    http_request const& request,
    absl::Time now)
{
    auto const watch_argument = find_header(request.query_arguments_, "watch");
    auto const known_version =
        parse_number<std::uint64_t>(watch_argument.value_or("0"));
    if (!known_version)
    {
        respond(token, text_response(400, "watch: must be a version\n"), now);
        return;
    }
    if (!admit(read_window_, token, now))
        return;
    ++counters_.reads_;
    stored_object const current = store_.get(name);
    if (watch_argument && current.version_.value() == *known_version)
    {
        watches_.emplace(token, waiting_watch{name, current.version_});
        watch_timeouts_.set(token, now + settings_.max_watch_time_);
        ++counters_.waiting_watches_;
        return;
    }
    respond(
        token,
        object_response(current.version_.empty() ? 404 : 200, current),
        now);
}

void platform_server::write_object(
    request_token token,
    object_name const& name,
    http_request const& request,
    absl::Time now)
{
    auto const expected = parse_number<std::uint64_t>(
        find_header(request.headers_, "If-Match").value_or(""));
    if (!expected)
    {
        respond(
            token, text_response(400, "If-Match: must be a version\n"), now);
        return;
    }
    if (!admit(write_window_, token, now))
        return;
    ++counters_.writes_;
    if (!store_.put_if(name, object_version(*expected), request.body_))
    {
        ++counters_.conflicts_;
        respond(token, object_response(409, store_.get(name)), now);
        return;
    }
    answer_watches(name, now);
    if (should_lose_answer())
    {
        ++counters_.lost_answers_;
        server_.close_without_answer(token);
        return;
    }
    respond(token, object_response(200, {store_.get(name).version_, {}}), now);
}

void platform_server::answer_watches(object_name const& name, absl::Time now)
{
    std::vector<request_token> watch_tokens;
    for (auto const& [token, watch] : watches_)
    {
        if (watch.name_ == name)
            watch_tokens.push_back(token);
    }
    for (request_token const token : watch_tokens)
    {
        remove_watch(token);
        respond(token, object_response(200, store_.get(name)), now);
    }
}

bool platform_server::admit(
    rate_window& window, request_token token, absl::Time now)
{
    bool const is_read = &window == &read_window_;
    if (window.admit(now, is_read ? watches_.size() : 0))
        return true;
    ++counters_.refused_;
    respond(token, text_response(429, "too many calls a second\n"), now);
    return false;
}

bool platform_server::should_lose_answer()
{
    if (remaining_lost_answers_ > 0)
    {
        --remaining_lost_answers_;
        return true;
    }
    return random_() % 100 < faults_->lost_answer_percent_;
}

void platform_server::respond(
    request_token token, http_response const& response, absl::Time now)
{
    if (faults_->answer_delay_ == absl::ZeroDuration())
    {
        server_.answer(token, response);
        return;
    }
    delayed_responses_.emplace(token, response);
    delayed_response_times_.set(token, now + faults_->answer_delay_);
}

void platform_server::remove_watch(request_token token)
{
    watch_timeouts_.erase(token);
    if (watches_.erase(token) > 0)
        --counters_.waiting_watches_;
}

} // namespace samphire::standin
