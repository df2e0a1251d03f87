/**
 * The hub and its deputy as one source of news.
 *
 * While the hub stands still or is gone, no other instance may take its duty for some seconds, since it may still act on
 * stores. What engines keep and what instances have under way are hints, which a deputy may tell all the while: without
 * them every returning prompt is read again, at engines that look idle to all instances at once.
 */
import {type HubClient, type PeerNews} from './hub-client.js';
import {type PlaceQuestion} from './hub-messages.js';

export class NewsSources implements PeerNews {
	readonly #sources: readonly HubClient[];

	/** @param sources - The one to ask first comes first. */
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
