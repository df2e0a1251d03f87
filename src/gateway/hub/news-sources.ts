/**
 * Exchanges state through the coordinator, and through its standby where the coordinator does not answer.
 *
 * While the coordinator is paused or has failed, no other instance may acquire its lease for some seconds, since it may still
 * send orders to stores. The cached blocks of engines and the loads of instances are hints, which the standby may serve
 * meanwhile: without them every returning prompt is prefilled again, at engines that look idle to all instances at once.
 */
import {type HubClient, type PeerNews} from './hub-client.js';
import {type PlaceQuestion} from './hub-messages.js';

export class NewsSources implements PeerNews {
	readonly #sources: readonly HubClient[];

	/** @param sources - In the order in which they are tried. */
	constructor(sources: readonly HubClient[]) {
		this.#sources = sources;
	}

	async refresh(question: PlaceQuestion): Promise<void> {
		for (const source of this.#sources) {
			if (await source.refresh(question)) {
				return;
			}
		}
	}

	tell(): void {
		this.#sources.find(({isResponsive}) => isResponsive)?.tell();
	}
}
