#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace samphire
{

/// Requests that were running when an upstream went down, by fingerprint. One
/// that was there at several crashes without a good end between is refused;
/// others are cleared by their next good end.
class crash_register
{
public:
    /// `threshold`: crashes after which a request is refused.
    explicit crash_register(std::size_t threshold) : threshold_(threshold)
    {
    }

    /// A connection to the upstream broke while it ran the request.
    void on_lost(std::uint64_t fingerprint, absl::Time now);
    /// The upstream refuses connections: it crashed. Returns the requests that
    /// were lost shortly before.
    std::vector<std::uint64_t> on_upstream_down(absl::Time now);

    /// `crash` tells crashes apart, so that two reports of one count once.
    void
    on_crash(std::uint64_t fingerprint, std::uint64_t crash, absl::Time now);
    void on_success(std::uint64_t fingerprint)
    {
        suspects_.erase(fingerprint);
    }

    bool refused(std::uint64_t fingerprint, absl::Time now) const;

    std::size_t size() const
    {
        return suspects_.size();
    }

private:
    struct suspect
    {
        absl::flat_hash_set<std::uint64_t> crashes_;
        absl::Time last_;
    };

    /// Losses within this time before a refused connection belong to it.
    static constexpr absl::Duration correlation = absl::Seconds(1);
    /// A suspect that causes no crash for so long is forgotten.
    static constexpr absl::Duration memory = absl::Seconds(120);
    static constexpr std::size_t capacity = 4096;

    std::size_t const threshold_;
    std::deque<std::pair<absl::Time, std::uint64_t>> lost_;
    absl::flat_hash_map<std::uint64_t, suspect> suspects_;
};

} // namespace samphire
