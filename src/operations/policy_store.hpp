#pragma once

#include "operations/platform_caller.hpp"
#include "operations/policy_store_error.hpp"
#include "operations/policy_update.hpp"
#include "operations/stored_policy.hpp"
#include "policy/policy_codec.hpp"

#include <boost/outcome/result.hpp>

#include <string>

namespace samphire
{

using policy_read_result =
    boost::outcome_v2::unchecked<stored_policy, policy_store_error>;

/// Reads and replaces the policy object of the platform.
template <platform_caller Platform>
class policy_store
{
public:
    explicit policy_store(Platform& platform) : platform_(platform)
    {
    }

    policy_read_result read()
    {
        platform_result const result = get();
        if (!is_read(result))
            return policy_store_error::platform_unavailable;
        bool const readable = result.status_ == platform_status::absent ||
                              parse_policy(result.value_.bytes());
        if (!readable)
            return policy_store_error::document_unreadable;
        return stored(result);
    }

    /// Replaces `base`, the object that the operator saw, by the document.
    policy_update
    apply(policy_document const& document, stored_policy const& base)
    {
        if (document.revision_ <= base.document_.revision_)
            return {update_status::not_higher, base};
        payload const value(format_policy(document));
        bool maybe_written = false;
        for (int attempt = 0; attempt < attempt_limit; ++attempt)
        {
            platform_result const written = platform_.call(
                {.method_ = platform_method::put_if,
                 .name_ = name(),
                 .version_ = base.version_,
                 .value_ = value});
            if (written.status_ == platform_status::ok)
                return {
                    update_status::applied,
                    {written.version_, value.bytes(), document}};
            bool const other_version =
                written.status_ == platform_status::conflict ||
                written.status_ == platform_status::absent;
            if (other_version)
                return compare(written, value);
            if (written.status_ == platform_status::refused)
                break;
            maybe_written = true;
            platform_result const found = get();
            if (is_read(found) && version_of(found) != base.version_)
                return compare(found, value);
        }
        return {
            maybe_written ? update_status::unknown : update_status::unavailable,
            base};
    }

private:
    // Three lost responses in a row mean an outage, not an accident.
    static constexpr int attempt_limit = 3;

    static object_name name()
    {
        return object_name("policy");
    }

    platform_result get()
    {
        return platform_.call(
            {.method_ = platform_method::get, .name_ = name()});
    }

    static bool is_read(platform_result const& result)
    {
        return result.status_ == platform_status::ok ||
               result.status_ == platform_status::absent;
    }

    static object_version version_of(platform_result const& result)
    {
        return result.status_ == platform_status::absent ? object_version()
                                                         : result.version_;
    }

    static stored_policy stored(platform_result const& result)
    {
        if (result.status_ == platform_status::absent)
            return {};
        std::string const& text = result.value_.bytes();
        policy_parse_result const parsed = parse_policy(text);
        return {
            result.version_, text, parsed ? parsed.value() : policy_document{}};
    }

    /// The own content under another version is an own write whose response
    /// was lost.
    static policy_update
    compare(platform_result const& found, payload const& value)
    {
        bool const own =
            found.status_ != platform_status::absent && found.value_ == value;
        return {
            own ? update_status::applied : update_status::conflict,
            stored(found)};
    }

    Platform& platform_;
};

} // namespace samphire
