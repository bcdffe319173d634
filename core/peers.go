package core

// peerMessage takes a message from another entry host.
func (s *State) peerMessage(e PeerMessage) {
	if len(e.Message.Hosts) > 0 {
		s.hostListRead(HostListRead{Hosts: e.Message.Hosts})
	}
	if len(e.Message.Manifest) > 0 {
		s.out.add(ParseManifest{Raw: e.Message.Manifest, From: e.From})
	}
	if len(e.Message.Part) > 0 {
		s.out.add(ParsePart{Raw: e.Message.Part, From: e.From})
	}
}
