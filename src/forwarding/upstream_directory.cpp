#include "forwarding/upstream_directory.hpp"

#include "forwarding/pressure_solver.hpp"

#include <algorithm>
#include <vector>

namespace samphire
{

peer_state* upstream_directory::find_or_add(endpoint daemon)
{
    auto const found = peers_.find(daemon);
    if (found != peers_.end())
        return found->second.get();
    if (peers_.size() >= max_daemons_)
        return nullptr;
    auto& peer = peers_[daemon];
    peer = std::make_unique<peer_state>();
    peer->record_.daemon_ = daemon;
    return peer.get();
}

void upstream_directory::rebuild_index()
{
    peers_by_service_.clear();
    for (auto const& [daemon, peer] : peers_)
    {
        if (!peer->record_.service_.empty())
            peers_by_service_[peer->record_.service_].push_back(peer.get());
    }
    // The peers of a service are sorted because the iteration order of a hash
    // table differs between processes.
    for (auto& [service, peers] : peers_by_service_)
        std::sort(
            peers.begin(),
            peers.end(),
            [](peer_state const* left, peer_state const* right)
            { return left->record_.daemon_ < right->record_.daemon_; });
}

void upstream_directory::update_from_store(
    upstream_record const& record, std::uint64_t revision)
{
    peer_state* const peer = find_or_add(record.daemon_);
    if (!peer || revision < peer->stored_revision_)
        return;
    peer->stored_revision_ = revision;
    if (peer->connected_ || peer->record_ == record ||
        contradicts_departure(record))
        return;
    replace_record(*peer, completed(record, peer->record_));
}

void upstream_directory::forget_stored_revisions()
{
    for (auto const& [daemon, peer] : peers_)
        peer->stored_revision_ = 0;
}

void upstream_directory::update_from_daemon(upstream_record const& record)
{
    peer_state* const peer = find_or_add(record.daemon_);
    if (!peer || peer->record_ == record || contradicts_departure(record))
        return;
    replace_record(*peer, completed(record, peer->record_));
}

upstream_record upstream_directory::completed(
    upstream_record const& record, upstream_record const& known)
{
    if (!names_only_id(record) || known.id_ != record.id_)
        return record;
    upstream_record departed = known;
    departed.phase_ = upstream_phase::leaving;
    return departed;
}

void upstream_directory::replace_record(
    peer_state& peer, upstream_record const& record)
{
    if (!is_same_process(peer.record_, record))
        peer.rate_limit_ = {};
    peer.record_ = record;
    rebuild_index();
}

void upstream_directory::set_connected(
    endpoint daemon, std::uint64_t incarnation)
{
    peer_state* const peer = find_or_add(daemon);
    if (!peer)
        return;
    if (peer->incarnation_ != incarnation)
    {
        peer->is_stopping_ = false;
        peer->reaches_store_ = true;
        peer->load_ = {};
        peer->load_report_time_ = absl::InfinitePast();
    }
    peer->incarnation_ = incarnation;
    peer->connected_ = true;
    peer->awaiting_reply_since_ = absl::InfiniteFuture();
}

void upstream_directory::set_disconnected(endpoint daemon)
{
    if (peer_state* const peer = find(daemon))
        peer->connected_ = false;
}

void upstream_directory::set_load_report(
    endpoint daemon, load_report const& report, absl::Time now)
{
    peer_state* const peer = find(daemon);
    if (!peer)
        return;
    peer->load_ = report;
    if (report.rate_limit_.is_known_)
        peer->rate_limit_ = report.rate_limit_;
    peer->load_report_time_ = now;
    peer->awaiting_reply_since_ = absl::InfiniteFuture();
    peer->in_flight_requests_at_report_ = peer->in_flight_requests_;
}

void upstream_directory::set_stopping(endpoint daemon, bool value)
{
    if (peer_state* const peer = find(daemon))
        peer->is_stopping_ = value;
}

void upstream_directory::set_store_access(endpoint daemon, bool reaches_store)
{
    if (peer_state* const peer = find(daemon))
        peer->reaches_store_ = reaches_store;
}

void upstream_directory::set_leaving(
    endpoint daemon, std::int64_t start_time_ms)
{
    peer_state* const peer = find(daemon);
    if (peer && peer->record_.start_time_ms_ == start_time_ms)
        peer->record_.phase_ = upstream_phase::leaving;
}

bool upstream_directory::contradicts_departure(
    upstream_record const& record) const
{
    peer_state const* const peer = find(record.daemon_);
    return peer && peer->record_.phase_ == upstream_phase::leaving &&
           record.phase_ != upstream_phase::leaving &&
           is_same_process(peer->record_, record);
}

void upstream_directory::remove_daemon(endpoint daemon)
{
    if (peers_.erase(daemon) > 0)
        rebuild_index();
}

peer_state* upstream_directory::find(endpoint daemon)
{
    auto const found = peers_.find(daemon);
    return found == peers_.end() ? nullptr : found->second.get();
}

peer_state const* upstream_directory::find(endpoint daemon) const
{
    auto const found = peers_.find(daemon);
    return found == peers_.end() ? nullptr : found->second.get();
}

std::vector<peer_state*> const&
upstream_directory::peers_of_service(service_name const& service) const
{
    static std::vector<peer_state*> const none;
    auto const found = peers_by_service_.find(service);
    return found == peers_by_service_.end() ? none : found->second;
}

service_pressure
upstream_directory::pressure_of_service(service_name const& service) const
{
    std::vector<double> demand;
    double capacity_per_ks = 0;
    int known_capacities = 0;
    int unknown_capacities = 0;
    for (peer_state const* const peer : peers_of_service(service))
    {
        load_report const& load = peer->load_;
        bool const accepts_work = peer->connected_ && load.accepts_work_ &&
                                  peer->record_.phase_ == upstream_phase::ready;
        if (!accepts_work)
            continue;
        ++(load.capacity_per_ks_ > 0 ? known_capacities : unknown_capacities);
        capacity_per_ks += load.capacity_per_ks_;
        demand.resize(std::max(demand.size(), load.demand_per_ks_.size()));
        for (std::size_t i = 0; i < load.demand_per_ks_.size(); ++i)
            demand[i] += load.demand_per_ks_[i];
    }
    if (known_capacities == 0)
        return {service, 0};
    // The capacity of an upstream that has not reported one is taken to be the
    // mean of the reported capacities.
    capacity_per_ks += capacity_per_ks / known_capacities * unknown_capacities;
    return {service, pressure_permille(demand, capacity_per_ks)};
}

bool upstream_directory::is_service_reachable(service_name const& service) const
{
    std::vector<peer_state*> const& peers = peers_of_service(service);
    return std::any_of(
        peers.begin(),
        peers.end(),
        [](peer_state const* peer) { return peer->connected_; });
}

std::vector<endpoint>
upstream_directory::peers_awaiting_reply(absl::Time since) const
{
    std::vector<endpoint> result;
    for (auto const& [daemon, peer] : peers_)
    {
        if (peer->connected_ && peer->awaiting_reply_since_ <= since)
            result.push_back(daemon);
    }
    return result;
}

std::vector<endpoint> upstream_directory::daemons() const
{
    std::vector<endpoint> result;
    result.reserve(peers_.size());
    for (auto const& [daemon, peer] : peers_)
        result.push_back(daemon);
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace samphire
