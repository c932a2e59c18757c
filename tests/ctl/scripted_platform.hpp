#pragma once

#include "fake_platform.hpp"

#include <functional>
#include <set>

namespace samphire::fake
{

/// Platform that loses chosen responses, and lets another operator act before
/// a chosen call. Calls are counted from 1.
class scripted_platform
{
public:
    platform_result call(platform_request const& request)
    {
        ++calls_;
        if (calls_ == interrupted_call_)
            interruption_();
        platform_result const result = store_.call(request);
        if (lost_responses_.contains(calls_))
            return {.status_ = platform_status::no_answer};
        return result;
    }

    fake_platform& store()
    {
        return store_;
    }

    void lose_response(unsigned call)
    {
        lost_responses_.insert(call);
    }

    void interrupt_before(unsigned call, std::function<void()> interruption)
    {
        interrupted_call_ = call;
        interruption_ = std::move(interruption);
    }

private:
    fake_platform store_{1};
    unsigned calls_{};
    std::set<unsigned> lost_responses_;
    unsigned interrupted_call_{};
    std::function<void()> interruption_;
};

} // namespace samphire::fake
