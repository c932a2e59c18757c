#pragma once

#include "base/random_source.hpp"
#include "object_api/platform_request.hpp"
#include "object_api/platform_result.hpp"

#include <absl/time/time.h>

#include <map>

namespace samphire::fake
{

/// In-memory object store that stands in for the platform. A test can make the
/// store unavailable, delay its answers or drop a part of them.
class fake_platform
{
public:
    explicit fake_platform(std::uint64_t seed) : random_(seed)
    {
    }

    /// While the platform is unavailable, every call has no effect and gets no
    /// answer.
    void set_unavailable(bool unavailable)
    {
        unavailable_ = unavailable;
    }

    void set_latency(absl::Duration latency)
    {
        latency_ = latency;
    }

    /// Sets the percentage of calls that take effect but whose answer is lost.
    void set_lost_answer_percent(unsigned percent)
    {
        lost_answer_percent_ = percent;
    }

    absl::Duration latency() const
    {
        return latency_;
    }

    std::uint64_t calls() const
    {
        return calls_;
    }

    platform_result call(platform_request const& request)
    {
        ++calls_;
        if (unavailable_)
            return {.status_ = platform_status::no_answer};
        platform_result const result = apply(request);
        if (random_() % 100 < lost_answer_percent_)
            return {.status_ = platform_status::no_answer};
        return result;
    }

    /// Replaces an object without a version check; models a write by an
    /// operator.
    void put(object_name const& name, payload const& value)
    {
        stored_object& object = objects_[name];
        object.version_ = object.version_.next();
        object.value_ = value;
    }

private:
    struct stored_object
    {
        object_version version_{};
        payload value_;
    };

    platform_result apply(platform_request const& request)
    {
        stored_object& object = objects_[request.name_];
        if (request.method_ == platform_method::put_if)
        {
            if (object.version_ != request.version_)
                return {
                    platform_status::conflict, object.version_, object.value_};
            object.version_ = object.version_.next();
            object.value_ = request.value_;
            return {platform_status::ok, object.version_, object.value_};
        }
        if (object.version_.empty())
            return {.status_ = platform_status::absent};
        bool const unchanged = request.method_ == platform_method::watch &&
                               object.version_ == request.version_;
        if (unchanged)
            return {platform_status::unchanged, object.version_, {}};
        return {platform_status::ok, object.version_, object.value_};
    }

    random_source random_;
    bool unavailable_{};
    absl::Duration latency_{absl::Milliseconds(3)};
    unsigned lost_answer_percent_{};
    std::uint64_t calls_{};
    std::map<object_name, stored_object> objects_;
};

} // namespace samphire::fake
