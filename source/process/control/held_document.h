#ifndef MARJORAMSILL_PROCESS_CONTROL_HELD_DOCUMENT_H_
#define MARJORAMSILL_PROCESS_CONTROL_HELD_DOCUMENT_H_

#include <memory>
#include <vector>

#include "process/control/distribution_messages.h"
#include "types/ids.h"
#include "version/policy_document.h"
#include "version/policy_snapshot.h"
#include "version/section_error.h"
#include "version/snapshot_builder.h"

namespace marjoramsill {

/// What a VM holds of the document and can serve to its peers. A VM that began
/// without a document holds the other sections as of `base()` and all changes
/// after it, and fills in the workspace sections up to `base()` one by one.
class held_document {
 public:
  /// Holds all of the given document; `base()` is 0.
  explicit held_document(policy_document document);

  document_version version() const { return document_.version(); }
  const policy_document& document() const { return document_; }

  /// All sections up to `version()` are held.
  bool complete() const { return complete_; }
  section_version base() const { return base_; }
  section_version filled_through() const { return filled_through_; }

  /// Installs records that lead exactly to `version`. An older version than
  /// the current one changes nothing but adds records that are missing.
  void Install(const std::vector<section_ptr>& records,
               document_version version);
  /// Installs all sections but workspaces as of `version`.
  void InstallBase(const std::vector<section_ptr>& records,
                   document_version version);
  /// Adds workspace sections with versions in (filled_through(), through], as
  /// a peer held them at its version `seen`.
  void Fill(const std::vector<section_ptr>& records, section_version through,
            document_version seen);
  /// Adds one workspace section whose version is at most `version()`.
  void FillOne(const section_ptr& record);

  /// Sections that this VM cannot compile, for example because a newer
  /// release accepted them; their previous content stays in force.
  std::vector<section_error> TakeErrors();

  std::shared_ptr<const policy_snapshot> Snapshot() const;

  /// The answer to a peer's request. Never `kBusy`.
  fetch_reply Serve(const fetch_request& request) const;

 private:
  void Add(const section_ptr& record);
  void UpdateComplete();
  void ServeNamed(const fetch_request& request, fetch_reply& reply) const;

  policy_document document_;
  snapshot_builder builder_;
  std::vector<section_error> errors_;
  bool complete_ = true;
  section_version base_;
  section_version filled_through_;
  /// Newest version of a peer that filled in sections. A section that changed
  /// between `base_` and it was left out, so the document is complete only
  /// once that change is held too.
  document_version filled_seen_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_HELD_DOCUMENT_H_
