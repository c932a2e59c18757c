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

constexpr std::size_t calls_in_progress = 4096;
constexpr absl::Duration longest_wait = absl::Milliseconds(200);
constexpr absl::Duration report_interval = absl::Milliseconds(500);
// Attempts of one call are told apart by the low bits of their tokens.
constexpr unsigned attempt_bits = 8;

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
      results_(2 * calls_in_progress, plan_.direct_, clock_),
      client_(calls_in_progress, results_), random_(plan_.seed_ + 1),
      records_(plan_.mix_.size())
{
    std::vector<double> const weights = weights_of(plan_.mix_);
    choose_route_ = {weights.begin(), weights.end()};
}

void load_run::run_calls()
{
    started_ = clock_.now();
    std::visit(
        [&]<class Shape>(Shape const& shape)
        {
            arrival_plan<Shape> plan(shape, plan_.seed_);
            absl::Duration next = plan.next();
            while (next < plan_.length_ || !calls_.empty())
            {
                absl::Time const arrival = next < plan_.length_
                                               ? started_ + next
                                               : absl::InfiniteFuture();
                absl::Duration const wait = std::clamp(
                    std::min(arrival, resends_.next()) - clock_.now(),
                    absl::ZeroDuration(),
                    longest_wait);
                if (auto const ended = results_.next(wait))
                    handle(*ended);
                absl::Time const now = clock_.now();
                while (auto const number = resends_.pop_due(now))
                    send(*number);
                for (; next < plan_.length_ && started_ + next <= now;
                     next = plan.next())
                    start_call(next);
                report(now);
            }
        },
        plan_.shape_);
    client_.stop();
}

void load_run::start_call(absl::Duration planned)
{
    std::uint64_t const number = ++calls_made_;
    std::size_t const route = choose_route_(random_);
    std::string body =
        fmt::format("{}#{}-{}", plan_.mix_[route].target_, plan_.seed_, number);
    body.resize(std::max(body.size(), plan_.body_size_), '.');
    auto const [entry, added] = calls_.emplace(
        number,
        load_call{
            .route_ = route,
            .arrived_ = started_ + planned,
            .body_ = payload(std::move(body))});
    if (counted(entry->second))
    {
        records_[route].add_arrival();
        recovery_.add_arrival(planned);
    }
    send(number);
}

void load_run::send(std::uint64_t number)
{
    load_call& call = calls_.at(number);
    request_token const token((number << attempt_bits) | call.attempts_);
    ++call.attempts_;
    if (!client_.send(token, write_request(number, call)))
        finish(number, load_outcome::refused, clock_.now());
}

outgoing_request
load_run::write_request(std::uint64_t number, load_call const& call)
{
    std::string const& target = plan_.mix_[call.route_].target_;
    std::vector<http_header> headers{
        {"Samphire-Timeout-Ms",
         std::to_string(absl::ToInt64Milliseconds(plan_.timeout_))}};
    if (!call.ticket_.empty())
        headers.push_back({"Samphire-Ticket", call.ticket_});
    if (plan_.keys_)
        headers.push_back(
            {"Idempotency-Key", fmt::format("{}-{}", plan_.seed_, number)});
    return {
        .method_ = "POST",
        .to_ = plan_.entries_[random_() % plan_.entries_.size()],
        .path_ =
            plan_.direct_ ? target.substr(target.find('/')) : "/call/" + target,
        .headers_ = std::move(headers),
        .body_ = call.body_,
        .timeout_ = plan_.timeout_};
}

void load_run::handle(attempt_ended const& ended)
{
    std::uint64_t const number = ended.token_.value() >> attempt_bits;
    auto const found = calls_.find(number);
    if (found == calls_.end())
        return;
    load_call& call = found->second;
    bool const wrong =
        ended.outcome_ == load_outcome::whole && ended.body_ != call.body_;
    load_outcome const outcome =
        wrong ? load_outcome::wrong_body : ended.outcome_;
    bool const final = outcome == load_outcome::whole || wrong ||
                       call.attempts_ > plan_.resends_;
    if (final)
    {
        finish(number, outcome, ended.at_);
        return;
    }
    // A request that was not run may run under a new ticket; otherwise the
    // caller holds on to the ticket it was given.
    if (outcome == load_outcome::not_run)
        call.ticket_.clear();
    else if (!ended.ticket_.empty())
        call.ticket_ = ended.ticket_;
    if (counted(call))
        records_[call.route_].add_resend();
    resends_.set(number, ended.at_ + plan_.resend_delay_);
}

void load_run::finish(std::uint64_t number, load_outcome outcome, absl::Time at)
{
    auto const node = calls_.extract(number);
    load_call const& call = node.mapped();
    if (!counted(call))
        return;
    records_[call.route_].add_end(outcome, at - call.arrived_);
    if (outcome != load_outcome::whole)
        return;
    ++whole_;
    recovery_.add_whole(call.arrived_ - started_);
}

bool load_run::counted(load_call const& call) const
{
    return call.arrived_ - started_ >= plan_.warm_up_;
}

void load_run::report(absl::Time now)
{
    if (now < next_report_)
        return;
    next_report_ = now + report_interval;
    progress_.report({now - started_, calls_made_, whole_, calls_.size()});
}

} // namespace samphire
