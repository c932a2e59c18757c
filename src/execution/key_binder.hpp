#pragma once

#include "base/deadline_queue.hpp"
#include "execution/binder_limits.hpp"
#include "execution/binding_operation.hpp"
#include "execution/binding_request.hpp"
#include "execution/binding_result.hpp"
#include "execution/binding_shard.hpp"
#include "object_api/platform_result.hpp"

#include <list>
#include <map>
#include <vector>

namespace samphire
{

/// Binds idempotency keys to tickets by conditional update of shard objects in
/// the platform, many keys to one write. A shard has at most one platform call
/// in progress and keeps no content between its batches.
class key_binder
{
public:
    explicit key_binder(binder_limits limits);

    void bind(binding_request const& request, absl::Time now);

    /// The call no longer waits. Its ticket may still be stored.
    void forget(call_id call);

    /// Platform calls that are due; on_result() must follow for each.
    std::vector<binding_operation> start_due(absl::Time now);

    /// Takes the outcome of a shard's platform call; returns the calls that it
    /// decides. A further call for the batch is returned by start_due().
    std::vector<binding_result> on_result(
        std::size_t number, platform_result const& result, absl::Time now);

    absl::Time next_deadline() const;

private:
    enum class batch_phase : std::uint8_t
    {
        collecting,
        reading,
        writing,
    };

    struct shard_state
    {
        batch_phase phase_{batch_phase::collecting};
        /// Requests for the next batch, and those of the batch in progress.
        std::list<binding_request> waiting_;
        std::list<binding_request> batch_;
        object_version version_{};
        /// Text of the write that is due or in progress.
        payload write_;
        unsigned lost_answers_{};
        /// A write of this batch may have taken effect.
        bool write_in_doubt_{};
    };

    std::vector<binding_result>
    merge(std::size_t number, platform_result const& result, absl::Time now);
    std::vector<binding_result>
    on_written(std::size_t number, platform_result const& result, absl::Time);
    std::vector<binding_result>
    give_up(std::size_t number, binding_outcome outcome, absl::Time now);
    void finish_batch(std::size_t number, absl::Time now);
    object_name name_of(std::size_t number) const;

    binder_limits const limits_;
    std::map<std::size_t, shard_state> shards_;
    deadline_queue<std::size_t> due_;
};

} // namespace samphire
