#pragma once

#include "store/store_sink.hpp"

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace samphire
{

/// Records what a store_session asks for and reports.
class recording_store_sink
{
public:
    void submit(std::uint64_t number, store_operation const& operation)
    {
        calls_.emplace_back(number, operation);
    }

    void on_policy(std::shared_ptr<forwarding_policy const> const& policy)
    {
        policies_.push_back(policy);
    }

    void on_upstreams(std::vector<stored_upstream> const& upstreams)
    {
        lists_.push_back(upstreams);
    }

    void on_store_reachable(bool reachable)
    {
        reachable_ = reachable;
    }

    void on_store_restored(std::uint64_t era)
    {
        restored_eras_.push_back(era);
    }

    std::vector<std::pair<std::uint64_t, store_operation>> calls_;
    std::vector<std::shared_ptr<forwarding_policy const>> policies_;
    std::vector<std::vector<stored_upstream>> lists_;
    std::vector<std::uint64_t> restored_eras_;
    bool reachable_{};
};

} // namespace samphire
