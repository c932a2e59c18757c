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

/// Reads and replaces the policy object on the platform.
template <platform_caller Platform>
class policy_store
{
public:
    explicit policy_store(Platform& platform) : platform_(platform)
    {
    }

    policy_read_result read()
    {
        platform_result const result = fetch();
        if (!read_succeeded(result))
            return policy_store_error::platform_unavailable;
        bool const is_valid = result.status_ == platform_status::absent ||
                              parse_policy(result.value_.bytes());
        if (!is_valid)
            return policy_store_error::document_unreadable;
        return to_stored_policy(result);
    }

    /// Replaces `base`, the stored policy that the operator has seen, by the
    /// document. Nothing is replaced when the stored version is another one.
    policy_update
    apply(policy_document const& document, stored_policy const& base)
    {
        if (document.revision_ <= base.document_.revision_)
            return {update_status::not_higher, base};
        payload const value(format_policy(document));
        bool maybe_written = false;
        for (int attempt = 0; attempt < max_attempts; ++attempt)
        {
            platform_result const write_result = platform_.call(
                {.method_ = platform_method::put_if,
                 .name_ = policy_object_name(),
                 .version_ = base.version_,
                 .value_ = value});
            if (write_result.status_ == platform_status::ok)
                return {
                    update_status::applied,
                    {write_result.version_, value.bytes(), document}};
            bool const version_changed =
                write_result.status_ == platform_status::conflict ||
                write_result.status_ == platform_status::absent;
            if (version_changed)
                return compare_with_update(write_result, value);
            if (write_result.status_ == platform_status::refused)
                break;
            maybe_written = true;
            platform_result const found = fetch();
            if (read_succeeded(found) && version_of(found) != base.version_)
                return compare_with_update(found, value);
        }
        return {
            maybe_written ? update_status::unknown : update_status::unavailable,
            base};
    }

private:
    // Three lost responses in a row indicate an outage of the platform rather
    // than a single fault.
    static constexpr int max_attempts = 3;

    static object_name policy_object_name()
    {
        return object_name("policy");
    }

    platform_result fetch()
    {
        return platform_.call(
            {.method_ = platform_method::get, .name_ = policy_object_name()});
    }

    static bool read_succeeded(platform_result const& result)
    {
        return result.status_ == platform_status::ok ||
               result.status_ == platform_status::absent;
    }

    static object_version version_of(platform_result const& result)
    {
        return result.status_ == platform_status::absent ? object_version()
                                                         : result.version_;
    }

    static stored_policy to_stored_policy(platform_result const& result)
    {
        if (result.status_ == platform_status::absent)
            return {};
        std::string const& text = result.value_.bytes();
        policy_parse_result const parsed = parse_policy(text);
        return {
            result.version_, text, parsed ? parsed.value() : policy_document{}};
    }

    /// When the object holds `value` under another version, an earlier attempt
    /// wrote it and only the response was lost.
    static policy_update
    compare_with_update(platform_result const& found, payload const& value)
    {
        bool const is_own_write =
            found.status_ != platform_status::absent && found.value_ == value;
        return {
            is_own_write ? update_status::applied : update_status::conflict,
            to_stored_policy(found)};
    }

    Platform& platform_;
};

} // namespace samphire
