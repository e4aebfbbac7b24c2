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

/// The part of the policy document that a VM holds and can serve to its peers.
/// A VM that started without a document first installs all sections except
/// workspaces as of version `base()`, applies all changes after it, and fetches
/// the workspace sections up to `base()` in the background.
class held_document {
 public:
  /// Starts with a complete document; `base()` is 0.
  explicit held_document(policy_document document);

  document_version version() const { return document_.version(); }
  const policy_document& document() const { return document_; }

  /// True when all sections up to `version()` are held.
  bool complete() const { return complete_; }
  section_version base() const { return base_; }
  /// Workspace sections up to this version are held.
  section_version workspaces_through() const { return workspaces_through_; }

  /// Applies all changes between the current version and `version`. With a
  /// `version` below the current one it only adds missing records.
  void Install(const std::vector<section_ptr>& records,
               document_version version);
  /// Installs all sections except workspaces as of `version`.
  void InstallBase(const std::vector<section_ptr>& records,
                   document_version version);
  /// Adds the workspace sections with versions in (workspaces_through(),
  /// through] that a peer held at its document version `peer_version`.
  void AddWorkspaces(const std::vector<section_ptr>& records,
                     section_version through, document_version peer_version);
  /// Adds one workspace section whose version is at most `version()`.
  void AddWorkspace(const section_ptr& record);

  /// Returns and clears the sections that this VM could not compile, for
  /// example because a newer release accepted them. Their previous content
  /// stays in force.
  std::vector<section_error> TakeErrors();

  std::shared_ptr<const policy_snapshot> Snapshot() const;

  /// The response to a peer's request. Its status is never `kBusy`.
  fetch_response Serve(const fetch_request& request) const;

 private:
  void Add(const section_ptr& record);
  void UpdateComplete();
  void ServeNamed(const fetch_request& request, fetch_response& response) const;

  policy_document document_;
  snapshot_builder builder_;
  std::vector<section_error> errors_;
  bool complete_ = true;
  section_version base_;
  section_version workspaces_through_;
  /// Newest document version of a peer that sent workspace sections. The peer
  /// left out sections that changed between `base_` and this version, so the
  /// document is complete only once those changes are held too.
  document_version workspaces_version_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_HELD_DOCUMENT_H_
