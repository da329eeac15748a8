package org.rosemaryfront.operators;

import java.util.List;
import java.util.Optional;

import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.MemberView;

/**
 * What the operators' listener shows of the entry that it runs in. All methods may be
 * called from any thread and none of them blocks.
 */
public interface OperatorView {

	/**
	 * Takes a backend server out of service: announces its departure to all entries, so
	 * that it gets no new work.
	 * @param vm the VM of the backend server
	 */
	void drain(VmId vm);

	/**
	 * The decisions on a request.
	 * @param request the identifier of the request
	 * @return one line for each decision, oldest first; empty when this entry knows no
	 * such request
	 */
	List<String> explain(String request);

	/**
	 * The configuration in force in this entry.
	 * @return the configuration
	 */
	Configuration inForce();

	/**
	 * The controllers' lease.
	 * @return the lease, empty when there is none or the table service cannot be reached
	 */
	default Mono<Optional<LeaseView>> lease() {
		return Mono.just(Optional.empty());
	}

	/**
	 * The members of the region, this entry among them.
	 * @return the members
	 */
	List<MemberView> members();

	/**
	 * The backend servers that this entry knows.
	 * @return the backend servers of all pools
	 */
	List<ServerView> servers();

}
