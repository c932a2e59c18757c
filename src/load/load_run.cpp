#include "load/load_run.hpp"

#include "load/arrival_plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace samphire
{

namespace
{

constexpr std::size_t max_calls_in_progress = 4096;
constexpr absl::Duration max_wait_for_result = absl::Milliseconds(200);
constexpr absl::Duration progress_report_interval = absl::Milliseconds(500);
// Number of low bits of a request token that hold the number of the attempt;
// the bits above them hold the number of the call.
constexpr unsigned attempt_number_bits = 8;

std::vector<double> weights_of(std::vector<route_share> const& mix)
{
    std::vector<double> weights;
    for (route_share const& share : mix)
        weights.push_back(share.weight_);
    return weights;
}

} // namespace

load_run::load_run(load_plan plan, progress_line& progress)
    : plan_(std::move(plan)), progress_(progress),
      results_(
          2 * max_calls_in_progress, plan_.calls_upstreams_directly_, clock_),
      client_(max_calls_in_progress, results_), random_(plan_.seed_ + 1),
      records_(plan_.mix_.size())
{
    std::vector<double> const weights = weights_of(plan_.mix_);
    route_distribution_ = {weights.begin(), weights.end()};
}

void load_run::run_calls()
{
    start_time_ = clock_.now();
    std::visit(
        [&]<class Shape>(Shape const& shape)
        {
            arrival_plan<Shape> plan(shape, plan_.seed_);
            absl::Duration next = plan.next();
            while (next < plan_.arrival_duration_ || !calls_.empty())
            {
                absl::Time const arrival = next < plan_.arrival_duration_
                                               ? start_time_ + next
                                               : absl::InfiniteFuture();
                absl::Duration const wait = std::clamp(
                    std::min(arrival, resends_.next_deadline()) - clock_.now(),
                    absl::ZeroDuration(),
                    max_wait_for_result);
                if (auto const result = results_.next(wait))
                    handle_result(*result);
                absl::Time const now = clock_.now();
                while (auto const call_number = resends_.pop_due(now))
                    send_attempt(*call_number);
                for (; next < plan_.arrival_duration_ &&
                       start_time_ + next <= now;
                     next = plan.next())
                    start_call(next);
                report_progress(now);
            }
        },
        plan_.shape_);
    client_.stop();
}

void load_run::start_call(absl::Duration planned_arrival)
{
    std::uint64_t const call_number = ++started_calls_;
    std::size_t const route = route_distribution_(random_);
    std::string body = fmt::format(
        "{}#{}-{}", plan_.mix_[route].target_, plan_.seed_, call_number);
    body.resize(std::max(body.size(), plan_.request_body_bytes_), '.');
    auto const [entry, added] = calls_.emplace(
        call_number,
        load_call{
            .route_index_ = route,
            .planned_arrival_ = start_time_ + planned_arrival,
            .body_ = payload(std::move(body))});
    if (is_counted(entry->second))
    {
        records_[route].add_arrival();
        recovery_.add_arrival(planned_arrival);
    }
    send_attempt(call_number);
}

void load_run::send_attempt(std::uint64_t call_number)
{
    load_call& call = calls_.at(call_number);
    request_token const token(
        (call_number << attempt_number_bits) | call.sent_attempts_);
    ++call.sent_attempts_;
    if (!client_.send(token, write_request(call_number, call)))
        finish_call(call_number, load_outcome::refused, clock_.now());
}

outgoing_request
load_run::write_request(std::uint64_t call_number, load_call const& call)
{
    std::string const& target = plan_.mix_[call.route_index_].target_;
    std::vector<http_header> headers{
        {"Samphire-Timeout-Ms",
         std::to_string(absl::ToInt64Milliseconds(plan_.timeout_))}};
    if (!call.ticket_.empty())
        headers.push_back({"Samphire-Ticket", call.ticket_});
    if (plan_.sends_idempotency_keys_)
        headers.push_back(
            {"Idempotency-Key",
             fmt::format("{}-{}", plan_.seed_, call_number)});
    return {
        .method_ = "POST",
        .destination_ = plan_.endpoints_[random_() % plan_.endpoints_.size()],
        .path_ = plan_.calls_upstreams_directly_
                     ? target.substr(target.find('/'))
                     : "/call/" + target,
        .headers_ = std::move(headers),
        .body_ = call.body_,
        .timeout_ = plan_.timeout_};
}

void load_run::handle_result(attempt_result const& result)
{
    std::uint64_t const call_number =
        result.token_.value() >> attempt_number_bits;
    auto const found = calls_.find(call_number);
    if (found == calls_.end())
        return;
    load_call& call = found->second;
    bool const has_wrong_body =
        result.outcome_ == load_outcome::whole && result.body_ != call.body_;
    load_outcome const outcome =
        has_wrong_body ? load_outcome::wrong_body : result.outcome_;
    bool const is_final = outcome == load_outcome::whole || has_wrong_body ||
                          call.sent_attempts_ > plan_.max_resends_;
    if (is_final)
    {
        finish_call(call_number, outcome, result.ended_at_);
        return;
    }
    // A request that was not run may run under a new ticket. After any other
    // outcome the caller sends its ticket again, so that the request does not
    // run twice.
    if (outcome == load_outcome::not_run)
        call.ticket_.clear();
    else if (!result.ticket_.empty())
        call.ticket_ = result.ticket_;
    if (is_counted(call))
        records_[call.route_index_].add_resend();
    resends_.set(call_number, result.ended_at_ + plan_.resend_delay_);
}

void load_run::finish_call(
    std::uint64_t call_number, load_outcome outcome, absl::Time ended_at)
{
    auto const node = calls_.extract(call_number);
    load_call const& call = node.mapped();
    if (!is_counted(call))
        return;
    records_[call.route_index_].add_outcome(
        outcome, ended_at - call.planned_arrival_);
    if (outcome != load_outcome::whole)
        return;
    ++whole_answers_;
    recovery_.add_whole_answer(call.planned_arrival_ - start_time_);
}

bool load_run::is_counted(load_call const& call) const
{
    return call.planned_arrival_ - start_time_ >= plan_.warm_up_duration_;
}

void load_run::report_progress(absl::Time now)
{
    if (now < next_progress_report_time_)
        return;
    next_progress_report_time_ = now + progress_report_interval;
    progress_.report(
        {now - start_time_, started_calls_, whole_answers_, calls_.size()});
}

} // namespace samphire
