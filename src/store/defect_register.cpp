#include "store/defect_register.hpp"

namespace samphire
{

bool defect_register::is_new(object_defect const& defect)
{
    auto const [known, added] =
        revisions_by_name_.try_emplace(defect.name_, defect.revision_);
    if (!added && known->second == defect.revision_)
        return false;
    known->second = defect.revision_;
    if (!added)
        return true;
    names_by_age_.push_back(defect.name_);
    if (names_by_age_.size() > max_objects)
    {
        revisions_by_name_.erase(names_by_age_.front());
        names_by_age_.pop_front();
    }
    return true;
}

} // namespace samphire
