#pragma once

#include "core/core_context.hpp"
#include "core/policies.hpp"
#include "membership/membership.hpp"
#include "policy/policy_index.hpp"

#include <memory>

namespace samphire
{

/// The policy document in force at this daemon.
template <policies Policies>
class configuration
{
public:
    configuration(core_context& context, membership& members)
        : context_(context), members_(members),
          index_(std::make_shared<policy_document const>())
    {
    }

    policy_index const& index() const
    {
        return index_;
    }

    /// Puts the document in force if the revision policy accepts it.
    bool offer(std::shared_ptr<policy_document const> document, absl::Time)
    {
        revision const held = index_.document().revision_;
        if (!revision_.accepts(held, document->revision_))
            return false;
        index_ = policy_index(std::move(document));
        members_.set_revision(index_.document().revision_);
        return true;
    }

private:
    core_context& context_;
    membership& members_;
    typename Policies::revision revision_;
    policy_index index_;
};

} // namespace samphire
